package org.pomelohollow.pgm.demo;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.model.Endpoint;

/** Counters of a stand-in target, as read from its {@code /-/counts}. */
final class TargetReport {
  private final Map<String, String> values;

  private TargetReport(Map<String, String> values) {
    this.values = values;
  }

  static TargetReport fetch(Endpoint target) {
    Map<String, String> values = new HashMap<>();
    for (String line : DemoHttp.get(target, "/-/counts").split("\n", -1)) {
      String[] words = line.split(" ", 2);
      if (words.length == 2) {
        values.put(words[0], words[1]);
      }
    }
    return new TargetReport(values);
  }

  long started() {
    return number("started");
  }

  long maxRunsOfOneMark() {
    return number("most_runs_of_one_mark");
  }

  /** Returns the number of runs of all marked requests. */
  long totalMarkedRuns() {
    return number("runs_of_marks");
  }

  boolean sawApiKey() {
    return Boolean.parseBoolean(values.get("saw_key"));
  }

  private long number(String name) {
    return Long.parseLong(values.getOrDefault(name, "0"));
  }
}
