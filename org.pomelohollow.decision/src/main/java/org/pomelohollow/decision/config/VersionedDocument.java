package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.document.Document;

/**
 * An accepted document with its version.
 *
 * @param version version of the configuration, at least 1
 * @param changeId identifier of the change that created this version
 * @param text text of the document as published
 * @param document the parsed text
 */
public record VersionedDocument(long version, String changeId, String text, Document document) {
  /** Checks the fields. */
  public VersionedDocument {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
    Objects.requireNonNull(document, "document");
    if (version < 1) {
      throw new IllegalArgumentException("version " + version + " of a document is not positive");
    }
  }
}
