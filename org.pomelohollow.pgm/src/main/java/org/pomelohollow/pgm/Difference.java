package org.pomelohollow.pgm;

import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentDiff;
import org.pomelohollow.document.DocumentReader;

/** Differences between versions, as operators see them. */
final class Difference {
  private Difference() {}

  /**
   * Lists what changed from one version to a document.
   *
   * @param before state at the earlier version
   * @param after the later document
   * @return one line per entry
   */
  static List<String> between(ConfigState before, Document after) {
    return document(before)
        .map(d -> DocumentDiff.between(d, after))
        .orElseGet(() -> DocumentDiff.ofInitial(after));
  }

  /**
   * Lists what changed between two versions.
   *
   * @param before state at the earlier version
   * @param after state at the later version
   * @return one line per entry
   */
  static List<String> between(ConfigState before, ConfigState after) {
    return document(after).map(d -> between(before, d)).orElse(List.of());
  }

  private static Optional<Document> document(ConfigState s) {
    return DocumentReader.read("version " + s.version(), s.text()).value();
  }
}
