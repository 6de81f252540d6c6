package org.pomelohollow.decision.config;

import java.util.Objects;
import org.pomelohollow.document.Document;

/**
 * An accepted document.
 *
 * @param version number of accepted changes up to this one, from 1
 * @param changeId identifier of the change that brought it
 * @param text TOML text as published
 * @param document the text as read
 */
public record VersionedDocument(long version, String changeId, String text, Document document) {
  /** Checks the fields. */
  public VersionedDocument {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(text, "text");
    Objects.requireNonNull(document, "document");
    if (version < 1) {
      throw new IllegalArgumentException("version " + version);
    }
  }
}
