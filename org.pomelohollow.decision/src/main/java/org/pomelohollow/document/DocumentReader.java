package org.pomelohollow.document;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Parses and validates the configuration document. The result depends on the text alone, so that
 * every daemon accepts the same documents.
 */
public final class DocumentReader {
  private static final int MAX_NAME_LENGTH = 128;

  private DocumentReader() {}

  /**
   * Parses and validates a document.
   *
   * @param file file name that problems are reported with
   * @param text TOML text
   * @return the document, or every problem found
   */
  public static ParseResult<Document> read(String file, String text) {
    return TomlReader.read(file, text, DocumentReader::readTop);
  }

  private static Optional<Document> readTop(TomlSection top) {
    String name = readName(top);
    List<String> priorities = readPriorities(top);
    Map<ZoneId, ZoneEntry> zones = ZonesReader.read(top);
    Map<AccountId, AccountEntry> accounts = AccountsReader.read(top);
    List<ApiKeyEntry> keys = ApiKeysReader.read(top);
    Map<ServiceId, ServiceEntry> services = ServicesReader.read(top, zones);
    List<RouteEntry> routes = new RoutesReader(top, priorities).read();
    top.rejectUnknownKeys();
    if (top.problemCount() > 0) {
      return Optional.empty();
    }
    List<RouteEntry> sorted =
        routes.stream().sorted(Comparator.comparing(RouteEntry::path)).toList();
    return Optional.of(new Document(name, priorities, zones, accounts, keys, services, sorted));
  }

  private static String readName(TomlSection top) {
    String name = top.requiredString("name");
    boolean printable = name.chars().allMatch(c -> c >= ' ' && c != 0x7f);
    if (top.has("name") && (name.isBlank() || name.length() > MAX_NAME_LENGTH || !printable)) {
      top.report(
          "name",
          ErrorCode.TOML_OUT_OF_RANGE,
          "must have 1 to " + MAX_NAME_LENGTH + " printable characters");
    }
    return name;
  }

  private static List<String> readPriorities(TomlSection top) {
    List<String> priorities = top.names("priorities");
    if (priorities.isEmpty() || priorities.size() > Priority.MAX_COUNT) {
      top.report(
          "priorities",
          ErrorCode.TOML_OUT_OF_RANGE,
          "must list 1 to " + Priority.MAX_COUNT + " names, the most important first");
    }
    Set<String> seen = new HashSet<>();
    for (String p : priorities) {
      if (!seen.add(p)) {
        top.report("priorities", ErrorCode.DOCUMENT_DUPLICATE, "lists \"" + p + "\" twice");
      }
    }
    return priorities;
  }
}
