package org.pomelohollow.pgm.demo;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.Endpoint;

/** Counts of a target stand-in. */
final class TargetReport {
  private final Map<String, String> values;

  private TargetReport(Map<String, String> values) {
    this.values = values;
  }

  static TargetReport fetch(Endpoint target) {
    Map<String, String> m = new HashMap<>();
    for (String line : DemoHttp.get(target, "/-/counts").split("\n", -1)) {
      String[] words = line.split(" ", 2);
      if (words.length == 2) {
        m.put(words[0], words[1]);
      }
    }
    return new TargetReport(m);
  }

  long started() {
    return number("started");
  }

  long mostRunsOfOneMark() {
    return number("most_runs_of_one_mark");
  }

  /** Returns the runs of all marks. */
  long marks() {
    return number("runs_of_marks");
  }

  boolean sawKey() {
    return Boolean.parseBoolean(values.get("saw_key"));
  }

  private long number(String name) {
    return Long.parseLong(values.getOrDefault(name, "0"));
  }
}
