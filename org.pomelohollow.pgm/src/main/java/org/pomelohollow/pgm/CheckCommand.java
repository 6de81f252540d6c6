package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Validates a configuration document without publishing it. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "validate a configuration document and list every error";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("FILE");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    DocumentFile file = DocumentFile.fromArguments(options);
    if (file.check(console).isEmpty()) {
      return ExitCode.FAILED;
    }
    console.out().println(file.name() + ": valid");
    return ExitCode.DONE;
  }
}
