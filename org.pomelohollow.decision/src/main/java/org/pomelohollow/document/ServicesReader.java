package org.pomelohollow.document;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Reads the tables {@code [services.NAME]}: the services and their limits. */
final class ServicesReader {
  private static final int MAX_SERVICES = 2_000;

  private ServicesReader() {}

  static Map<ServiceId, ServiceEntry> read(TomlSection top, Map<ZoneId, ZoneEntry> zones) {
    Map<ServiceId, ServiceEntry> services = new LinkedHashMap<>();
    for (TomlSection.NamedSection n : top.sections("services", MAX_SERVICES)) {
      TomlSection s = n.section();
      int slots = (int) s.requiredInteger("slots", 1, ServiceEntry.MAX_SLOTS);
      int connections = (int) s.integer("connections", slots, 1, ServiceEntry.MAX_SLOTS);
      int coldStartSlots = (int) s.integer("cold_start_slots", 1, 1, ServiceEntry.MAX_SLOTS);
      Set<ZoneId> expectedZones = readZones(top, s, zones);
      s.construct(
              "",
              () ->
                  new ServiceEntry(
                      new ServiceId(n.name()), slots, connections, coldStartSlots, expectedZones))
          .ifPresent(e -> services.put(e.id(), e));
      s.rejectUnknownKeys();
    }
    return services;
  }

  private static Set<ZoneId> readZones(
      TomlSection top, TomlSection s, Map<ZoneId, ZoneEntry> zones) {
    Set<ZoneId> expectedZones = new LinkedHashSet<>();
    for (String name : s.names("zones")) {
      ZoneId z = new ZoneId(name);
      if (!top.hasEntry("zones", name)) {
        s.report("zones", ErrorCode.DOCUMENT_DANGLING_NAME, "zone \"" + name + "\" is not defined");
      } else if (!expectedZones.add(z)) {
        s.report("zones", ErrorCode.DOCUMENT_DUPLICATE, "lists \"" + name + "\" twice");
      }
    }
    if (!expectedZones.isEmpty()
        && expectedZones.stream().allMatch(z -> isOutOfService(zones.get(z)))) {
      s.report("zones", ErrorCode.DOCUMENT_NO_ZONE, "are all out of service");
    }
    return expectedZones;
  }

  private static boolean isOutOfService(ZoneEntry zone) {
    return zone != null && !zone.inService();
  }
}
