package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Checks a document without publishing it. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check a document and show every mistake";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.nonOptions("FILE");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    DocumentFile f = DocumentFile.argument(options);
    if (f.check(console).isEmpty()) {
      return ExitCode.FAILED;
    }
    console.out().println(f.name() + ": valid");
    return ExitCode.DONE;
  }
}
