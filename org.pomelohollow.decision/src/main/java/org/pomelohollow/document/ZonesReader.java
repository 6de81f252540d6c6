package org.pomelohollow.document;

import java.util.LinkedHashMap;
import java.util.Map;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ZoneId;

/** Reads the tables {@code [zones.NAME]}: the availability zones. */
final class ZonesReader {
  private static final int MAX_ZONES = 100;

  private ZonesReader() {}

  static Map<ZoneId, ZoneEntry> read(TomlSection top) {
    Map<ZoneId, ZoneEntry> zones = new LinkedHashMap<>();
    for (TomlSection.NamedSection n : top.sections("zones", MAX_ZONES)) {
      TomlSection s = n.section();
      String region = s.optionalName("region").orElse("default");
      boolean inService = s.flag("in_service", true);
      s.construct("", () -> new ZoneEntry(new ZoneId(n.name()), region, inService))
          .ifPresent(z -> zones.put(z.id(), z));
      s.rejectUnknownKeys();
    }
    if (zones.values().stream().noneMatch(ZoneEntry::inService)) {
      top.report("zones", ErrorCode.DOCUMENT_NO_ZONE, "has no zone in service");
    }
    return zones;
  }
}
