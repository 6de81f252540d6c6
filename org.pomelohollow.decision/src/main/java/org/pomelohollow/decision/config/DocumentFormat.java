package org.pomelohollow.decision.config;

import java.util.Optional;
import org.pomelohollow.document.Document;

/**
 * Format of documents. The result of reading a document depends on its text alone, so that all
 * daemons agree on it.
 */
@FunctionalInterface
public interface DocumentFormat {
  /** TOML, the format of documents in the log. */
  DocumentFormat TOML = ConfigFold::readDocument;

  /**
   * Reads a document.
   *
   * @param text text of the document
   * @return the document, empty if it is not valid
   */
  Optional<Document> read(String text);
}
