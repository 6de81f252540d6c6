package org.pomelohollow.decision.config;

import java.util.Optional;
import org.pomelohollow.document.Document;

/** Reads documents. The outcome depends on the text alone, so that all daemons agree on it. */
@FunctionalInterface
public interface DocumentFormat {
  /** The product's own format. */
  DocumentFormat TOML = ConfigFold::document;

  /**
   * Reads a document.
   *
   * @param text its text
   * @return the document, empty if it is not valid
   */
  Optional<Document> read(String text);
}
