package org.pomelohollow.pgm;

import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentDiff;
import org.pomelohollow.document.DocumentReader;

/** Lists the differences between configuration versions for operators. */
final class ConfigDiff {
  private ConfigDiff() {}

  /**
   * Lists the differences between a version and a document.
   *
   * @param before state at the earlier version; if its document cannot be read, every entry of the
   *     later one is listed
   * @param after the later document
   * @return one line for each entry that differs
   */
  static List<String> between(ConfigState before, Document after) {
    return parse(before)
        .map(d -> DocumentDiff.between(d, after))
        .orElseGet(() -> DocumentDiff.ofInitial(after));
  }

  /**
   * Lists the differences between two versions.
   *
   * @param before state at the earlier version
   * @param after state at the later version; if its document cannot be read, nothing is listed
   * @return one line for each entry that differs
   */
  static List<String> between(ConfigState before, ConfigState after) {
    return parse(after).map(d -> between(before, d)).orElse(List.of());
  }

  private static Optional<Document> parse(ConfigState s) {
    return DocumentReader.read("version " + s.version(), s.text()).value();
  }
}
