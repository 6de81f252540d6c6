package org.pomelohollow.document;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The project's example configuration documents, loaded from the class path. */
final class Examples {
  static final List<String> FILE_NAMES = List.of("durmientes.toml", "blue-mahoe.toml", "demo.toml");

  private Examples() {}

  static String text(String name) {
    try (InputStream in = Examples.class.getResourceAsStream("/examples/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Document read(String name) {
    return DocumentReader.read(name, text(name)).value().orElseThrow();
  }
}
