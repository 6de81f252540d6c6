package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Lists the differences between two documents in readable form, for operators. */
public final class DocumentDiff {
  /** Number of leading characters of a key's digest that are shown. */
  private static final int DIGEST_PREFIX_LENGTH = 8;

  private DocumentDiff() {}

  /**
   * Lists the differences between two documents. A line starts with {@code +} for an added entry,
   * {@code -} for a removed one and {@code ~} for a changed one. Digests of keys are abbreviated.
   *
   * @param before earlier document
   * @param after later document
   * @return one line per differing entry; empty if the documents are equivalent
   */
  public static List<String> between(Document before, Document after) {
    return between(entries(before), entries(after));
  }

  /**
   * Lists every entry of a document that has no predecessor as added.
   *
   * @param first the first document of a deployment
   * @return one line per entry
   */
  public static List<String> ofInitial(Document first) {
    return between(Map.of(), entries(first));
  }

  private static List<String> between(Map<String, Entry> before, Map<String, Entry> after) {
    List<String> out = new ArrayList<>();
    TreeSet<String> ids = new TreeSet<>(before.keySet());
    ids.addAll(after.keySet());
    for (String id : ids) {
      Entry a = before.get(id);
      Entry b = after.get(id);
      if (a == null) {
        out.add("+ " + b);
      } else if (b == null) {
        out.add("- " + a);
      } else if (!a.equals(b)) {
        out.add("~ " + a.describeChange(b));
      }
    }
    return out;
  }

  private static Map<String, Entry> entries(Document d) {
    Map<String, Entry> out = new LinkedHashMap<>();
    put(out, "deployment", "", new Entry("deployment").with("name", d.name()));
    put(out, "priorities", "", new Entry("priorities").with("order", d.priorities()));
    d.zones().values().forEach(z -> put(out, "zone", z.id().value(), zone(z)));
    d.accounts().values().forEach(a -> put(out, "account", a.id().value(), account(a)));
    d.apiKeys().forEach(k -> put(out, "key", k.digest(), key(k)));
    d.services().values().forEach(s -> put(out, "service", s.id().value(), service(s)));
    d.routes().forEach(r -> put(out, "route", r.name(), route(r, d.priorities())));
    d.rollouts().values().forEach(r -> put(out, "rollout", r.service().value(), rollout(r)));
    return out;
  }

  private static void put(Map<String, Entry> out, String kind, String name, Entry entry) {
    out.put(kind + " " + name, entry);
  }

  private static Entry zone(ZoneEntry z) {
    return new Entry("zone " + z.id().value())
        .with("region", z.region())
        .with("in_service", z.inService());
  }

  private static Entry account(AccountEntry a) {
    return new Entry("account " + a.id().value())
        .with("rate", a.ratePerSecond())
        .with("burst", a.burst())
        .with("weight", a.weight());
  }

  private static Entry key(ApiKeyEntry k) {
    return new Entry("key " + k.digest().substring(0, DIGEST_PREFIX_LENGTH))
        .with("account", k.account().value());
  }

  private static Entry service(ServiceEntry s) {
    return new Entry("service " + s.id().value())
        .with("slots", s.slots())
        .with("connections", s.connections())
        .with("cold_start_slots", s.coldStartSlots())
        .with("zones", s.zones().stream().map(z -> z.value()).sorted().toList());
  }

  private static Entry route(RouteEntry r, List<String> priorities) {
    return new Entry("route " + r.name())
        .with("service", r.service().value())
        .with("methods", r.methods().stream().sorted().toList())
        .with("path", r.path())
        .with("priority", priorities.get(r.priority().rank()))
        .with("idempotent", r.idempotent())
        .with("open", r.open())
        .with("timeout_ms", r.timeoutMillis())
        .with("bulk", r.bulk());
  }

  private static Entry rollout(RolloutOrder r) {
    return new Entry("rollout " + r.service().value())
        .with("version", r.version())
        .with("duration_ms", r.durationMillis())
        .with("order", r.id());
  }

  /** An entry of a document in readable form: a title and its fields in order. */
  private static final class Entry {
    private final String title;
    private final Map<String, String> fields = new LinkedHashMap<>();

    Entry(String title) {
      this.title = title;
    }

    Entry with(String field, Object value) {
      fields.put(field, String.valueOf(value));
      return this;
    }

    String describeChange(Entry after) {
      return after.fields.entrySet().stream()
          .filter(e -> !e.getValue().equals(fields.get(e.getKey())))
          .map(e -> e.getKey() + " " + fields.get(e.getKey()) + " -> " + e.getValue())
          .collect(Collectors.joining(", ", title + ": ", ""));
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Entry e && e.title.equals(title) && e.fields.equals(fields);
    }

    @Override
    public int hashCode() {
      return Objects.hash(title, fields);
    }

    @Override
    public String toString() {
      return fields.entrySet().stream()
          .map(e -> e.getKey() + " " + e.getValue())
          .collect(Collectors.joining(", ", title + ": ", ""));
    }
  }
}
