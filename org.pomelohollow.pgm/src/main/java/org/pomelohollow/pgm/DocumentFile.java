package org.pomelohollow.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionSet;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentReader;
import org.pomelohollow.document.ParseResult;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/**
 * Text of a file that holds a configuration document.
 *
 * @param name name of the file as given on the command line
 * @param text content of the file
 */
record DocumentFile(String name, String text) {
  /**
   * Reads the file that is named by the only argument of a command.
   *
   * @param options parsed options
   * @return the file
   * @throws UsageException if there is not exactly one argument
   */
  static DocumentFile fromArguments(OptionSet options) {
    List<?> args = options.nonOptionArguments();
    if (args.size() != 1) {
      throw new UsageException("expected exactly one FILE, got " + args.size());
    }
    return read((String) args.get(0));
  }

  private static DocumentFile read(String name) {
    try {
      return new DocumentFile(name, Files.readString(Path.of(name)));
    } catch (IOException e) {
      throw new PomelohollowException(
          ErrorCode.FILE_UNREADABLE, "file \"" + name + "\" cannot be read", e);
    }
  }

  /**
   * Parses and validates the document and prints every error.
   *
   * @param console receives the errors
   * @return the document, or empty if it is not valid
   */
  Optional<Document> check(Console console) {
    ParseResult<Document> parsed = DocumentReader.read(name, text);
    parsed.problems().forEach(p -> console.err().println(p));
    return parsed.value();
  }
}
