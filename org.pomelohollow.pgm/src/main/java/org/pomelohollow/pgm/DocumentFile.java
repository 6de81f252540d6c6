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
 * A file that holds a document.
 *
 * @param name name of the file
 * @param text its content
 */
record DocumentFile(String name, String text) {
  /**
   * Reads the only argument of a command.
   *
   * @param options parsed options
   * @return the file
   */
  static DocumentFile argument(OptionSet options) {
    List<?> args = options.nonOptionArguments();
    if (args.size() != 1) {
      throw new UsageException("needs one FILE");
    }
    return read((String) args.get(0));
  }

  private static DocumentFile read(String name) {
    try {
      return new DocumentFile(name, Files.readString(Path.of(name)));
    } catch (IOException e) {
      throw new PomelohollowException(ErrorCode.FILE_UNREADABLE, "cannot read " + name, e);
    }
  }

  /**
   * Checks the document and shows every mistake.
   *
   * @param console where to write
   * @return the document, if valid
   */
  Optional<Document> check(Console console) {
    ParseResult<Document> p = DocumentReader.read(name, text);
    p.problems().forEach(e -> console.err().println(e));
    return p.value();
  }
}
