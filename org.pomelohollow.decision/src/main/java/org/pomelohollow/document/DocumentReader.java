package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Reads and checks the configuration document. */
public final class DocumentReader {
  private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private final TomlSection top;
  private List<String> priorities = List.of();
  private final Map<ZoneId, ZoneEntry> zones = new LinkedHashMap<>();
  private final Map<AccountId, AccountEntry> accounts = new LinkedHashMap<>();
  private final List<KeyEntry> keys = new ArrayList<>();
  private final Map<ServiceId, ServiceEntry> services = new LinkedHashMap<>();
  private final List<RouteEntry> routes = new ArrayList<>();

  private DocumentReader(TomlSection top) {
    this.top = top;
  }

  /**
   * Reads a document.
   *
   * @param file name for problems
   * @param text TOML text
   * @return the document, or every mistake found
   */
  public static Parsed<Document> read(String file, String text) {
    return TomlFile.read(file, text, top -> new DocumentReader(top).read());
  }

  private Optional<Document> read() {
    String name = top.string("name");
    readPriorities();
    readZones();
    readAccounts();
    readKeys();
    readServices();
    readRoutes();
    top.rejectUnknownKeys();
    if (top.problemCount() > 0) {
      return Optional.empty();
    }
    routes.sort(Comparator.comparing(RouteEntry::path));
    return Optional.of(new Document(name, priorities, zones, accounts, keys, services, routes));
  }

  private void readPriorities() {
    priorities = top.strings("priorities");
    if (priorities.isEmpty() || priorities.size() > Priority.MAX_COUNT) {
      top.report(
          "priorities",
          ErrorCode.TOML_OUT_OF_RANGE,
          "needs 1 to " + Priority.MAX_COUNT + " names, the most important first");
    }
    if (Set.copyOf(priorities).size() != priorities.size()) {
      top.report("priorities", ErrorCode.DOCUMENT_DUPLICATE, "names a priority twice");
    }
  }

  private void readZones() {
    for (TomlSection.NamedSection n : top.sections("zones")) {
      TomlSection s = n.section();
      String region = s.optionalString("region").orElse("default");
      boolean inService = s.flag("in_service", true);
      s.attempt("", () -> new ZoneEntry(new ZoneId(n.name()), region, inService))
          .ifPresent(z -> zones.put(z.id(), z));
      s.rejectUnknownKeys();
    }
    if (zones.values().stream().noneMatch(ZoneEntry::inService)) {
      top.report("zones", ErrorCode.DOCUMENT_NO_ZONE, "has no zone in service");
    }
  }

  private void readAccounts() {
    for (TomlSection.NamedSection n : top.sections("accounts")) {
      TomlSection s = n.section();
      double rate = s.number("rate", 1, Double.MIN_VALUE, AccountEntry.MAX_RATE);
      if (!s.has("rate")) {
        s.report("rate", ErrorCode.TOML_MISSING_KEY, "is missing");
      }
      double burst = s.number("burst", Math.max(1, rate), 1, AccountEntry.MAX_RATE);
      double weight = s.number("weight", 1, Double.MIN_VALUE, 1_000);
      s.attempt("", () -> new AccountEntry(new AccountId(n.name()), rate, burst, weight))
          .ifPresent(a -> accounts.put(a.id(), a));
      s.rejectUnknownKeys();
    }
  }

  private void readKeys() {
    for (TomlSection s : top.tables("keys")) {
      Optional<AccountId> account = s.convert("account", AccountId::new);
      String digest = s.string("sha256");
      s.optionalString("label");
      s.rejectUnknownKeys();
      if (account.isEmpty()) {
        continue;
      }
      if (!accounts.containsKey(account.get())) {
        s.report("account", ErrorCode.DOCUMENT_DANGLING_NAME, "names no account");
      }
      if (keys.stream().anyMatch(k -> k.digest().equals(digest))) {
        s.report("sha256", ErrorCode.DOCUMENT_DUPLICATE, "stands twice");
      }
      s.attempt("sha256", () -> new KeyEntry(account.get(), digest)).ifPresent(keys::add);
    }
  }

  private void readServices() {
    for (TomlSection.NamedSection n : top.sections("services")) {
      TomlSection s = n.section();
      int slots = (int) s.requiredInteger("slots", 1, ServiceEntry.MAX_SLOTS);
      int connections = (int) s.integer("connections", slots, 1, ServiceEntry.MAX_SLOTS);
      int cold = (int) s.integer("cold_start_slots", 1, 1, ServiceEntry.MAX_SLOTS);
      s.attempt("", () -> new ServiceEntry(new ServiceId(n.name()), slots, connections, cold))
          .ifPresent(e -> services.put(e.id(), e));
      s.rejectUnknownKeys();
    }
  }

  private void readRoutes() {
    for (TomlSection s : top.tables("routes")) {
      readRoute(s).ifPresent(r -> addRoute(s, r));
    }
  }

  private void addRoute(TomlSection s, RouteEntry r) {
    for (RouteEntry o : routes) {
      if (o.name().equals(r.name())) {
        s.report("name", ErrorCode.DOCUMENT_DUPLICATE, "\"" + r.name() + "\" stands twice");
      }
      if (o.overlaps(r)) {
        s.report(
            "path", ErrorCode.DOCUMENT_ROUTE_OVERLAP, "overlaps with route \"" + o.name() + "\"");
      }
    }
    routes.add(r);
  }

  private Optional<RouteEntry> readRoute(TomlSection s) {
    String name = s.string("name");
    Optional<ServiceId> service = s.convert("service", ServiceId::new);
    Optional<PathPattern> path = s.convert("path", PathPattern::parse);
    Set<String> methods = readMethods(s);
    Optional<Priority> priority = readPriority(s);
    boolean idempotent = s.flag("idempotent", false);
    boolean open = s.flag("open", false);
    boolean bulk = s.flag("bulk", false);
    long timeout =
        s.integer("timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, RouteEntry.MAX_TIMEOUT_MILLIS);
    s.rejectUnknownKeys();
    if (service.isPresent() && !services.containsKey(service.get())) {
      s.report("service", ErrorCode.DOCUMENT_DANGLING_NAME, "names no service");
    }
    if (service.isEmpty() || path.isEmpty() || priority.isEmpty()) {
      return Optional.empty();
    }
    return s.attempt(
        "",
        () ->
            new RouteEntry(
                name,
                service.get(),
                methods,
                path.get(),
                priority.get(),
                idempotent,
                open,
                timeout,
                bulk));
  }

  private static Set<String> readMethods(TomlSection s) {
    List<String> methods = s.strings("methods");
    if (methods.isEmpty()) {
      s.report("methods", ErrorCode.TOML_MISSING_KEY, "needs at least one method");
    }
    for (String m : methods) {
      if (!METHODS.contains(m)) {
        s.report("methods", ErrorCode.TOML_OUT_OF_RANGE, "\"" + m + "\" is not a known method");
      }
    }
    return Set.copyOf(methods);
  }

  private Optional<Priority> readPriority(TomlSection s) {
    String name = s.string("priority");
    int rank = priorities.indexOf(name);
    if (rank < 0) {
      s.report("priority", ErrorCode.DOCUMENT_DANGLING_NAME, "\"" + name + "\" is no priority");
      return Optional.empty();
    }
    return Optional.of(new Priority(rank));
  }
}
