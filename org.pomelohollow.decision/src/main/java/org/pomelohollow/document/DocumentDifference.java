package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Describes the differences between two documents for operators. */
public final class DocumentDifference {
  private static final int DIGEST_PREFIX = 8;

  private DocumentDifference() {}

  /**
   * Lists the differences: {@code +} for what is new, {@code -} for what is gone, {@code ~} for
   * what has changed.
   *
   * @param before earlier document
   * @param after later document
   * @return one line per entry, empty if the documents mean the same; never a whole digest
   */
  public static List<String> between(Document before, Document after) {
    return between(items(before), items(after));
  }

  /**
   * Lists what a first document holds.
   *
   * @param first the document
   * @return one line per entry
   */
  public static List<String> from(Document first) {
    return between(Map.of(), items(first));
  }

  private static List<String> between(Map<String, Item> before, Map<String, Item> after) {
    List<String> out = new ArrayList<>();
    TreeSet<String> ids = new TreeSet<>(before.keySet());
    ids.addAll(after.keySet());
    for (String id : ids) {
      Item a = before.get(id);
      Item b = after.get(id);
      if (a == null) {
        out.add("+ " + b);
      } else if (b == null) {
        out.add("- " + a);
      } else if (!a.equals(b)) {
        out.add("~ " + a.changes(b));
      }
    }
    return out;
  }

  private static Map<String, Item> items(Document d) {
    Map<String, Item> out = new LinkedHashMap<>();
    put(out, "deployment", "", new Item("deployment").with("name", d.name()));
    put(out, "priorities", "", new Item("priorities").with("order", d.priorities()));
    d.zones().values().forEach(z -> put(out, "zone", z.id().value(), zone(z)));
    d.accounts().values().forEach(a -> put(out, "account", a.id().value(), account(a)));
    d.keys().forEach(k -> put(out, "key", k.digest(), key(k)));
    d.services().values().forEach(s -> put(out, "service", s.id().value(), service(s)));
    d.routes().forEach(r -> put(out, "route", r.name(), route(r, d.priorities())));
    return out;
  }

  private static void put(Map<String, Item> out, String kind, String name, Item item) {
    out.put(kind + " " + name, item);
  }

  private static Item zone(ZoneEntry z) {
    return new Item("zone " + z.id().value())
        .with("region", z.region())
        .with("in_service", z.inService());
  }

  private static Item account(AccountEntry a) {
    return new Item("account " + a.id().value())
        .with("rate", a.ratePerSecond())
        .with("burst", a.burst())
        .with("weight", a.weight());
  }

  private static Item key(KeyEntry k) {
    return new Item("key " + k.digest().substring(0, DIGEST_PREFIX))
        .with("account", k.account().value());
  }

  private static Item service(ServiceEntry s) {
    return new Item("service " + s.id().value())
        .with("slots", s.slots())
        .with("connections", s.connections())
        .with("cold_start_slots", s.coldStartSlots())
        .with("zones", s.zones().stream().map(z -> z.value()).sorted().toList());
  }

  private static Item route(RouteEntry r, List<String> priorities) {
    return new Item("route " + r.name())
        .with("service", r.service().value())
        .with("methods", r.methods().stream().sorted().toList())
        .with("path", r.path())
        .with("priority", priorities.get(r.priority().rank()))
        .with("idempotent", r.idempotent())
        .with("open", r.open())
        .with("timeout_ms", r.timeoutMillis())
        .with("bulk", r.bulk());
  }

  /** An entry of a document in readable form. */
  private static final class Item {
    private final String title;
    private final Map<String, String> fields = new LinkedHashMap<>();

    Item(String title) {
      this.title = title;
    }

    Item with(String field, Object value) {
      fields.put(field, String.valueOf(value));
      return this;
    }

    String changes(Item after) {
      return after.fields.entrySet().stream()
          .filter(e -> !e.getValue().equals(fields.get(e.getKey())))
          .map(e -> e.getKey() + " " + fields.get(e.getKey()) + " -> " + e.getValue())
          .collect(Collectors.joining(", ", title + ": ", ""));
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Item i && i.title.equals(title) && i.fields.equals(fields);
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
