package org.pomelohollow.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.errors.PomelohollowException;

/** Entry point of the program: selects the subcommand and runs it. */
public final class Main {
  private static final String HELP = "help";

  private final List<Command> commands =
      List.of(
          new CheckCommand(),
          new BenchOverheadCommand(),
          new BenchStartCommand(),
          new BenchSurgeCommand(),
          new DaemonCommand(),
          new DemoCommand(),
          new DumpCommand(),
          new KeyCommand(),
          new StandInLogCommand(),
          new PublishCommand(),
          new RehearseCommand(),
          new ShowCommand(),
          new StandInTargetCommand());

  private Main() {}

  /**
   * Runs the program and exits with the status of its {@link ExitCode}.
   *
   * @param args subcommand and its arguments
   */
  public static void main(String[] args) {
    ExitCode c = new Main().run(args, new Console(System.out, System.err));
    System.out.flush();
    if (c != ExitCode.DONE) {
      System.exit(c.status());
    }
    System.exit(0);
  }

  /**
   * Runs a command line in this process.
   *
   * @param args subcommand and its arguments
   * @param console output of the command
   * @return the exit code
   */
  static ExitCode execute(String[] args, Console console) {
    return new Main().run(args, console);
  }

  private ExitCode run(String[] args, Console console) {
    if (args.length == 0 || args[0].equals("--" + HELP)) {
      printCommands(console);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
    }
    Optional<Command> command = findCommand(args);
    if (command.isEmpty()) {
      console.err().println("pomelohollow: unknown command \"" + args[0] + "\"; see --help");
      return ExitCode.USAGE;
    }
    int nameWords = command.get().name().split(" ", -1).length;
    return run(command.get(), Arrays.copyOfRange(args, nameWords, args.length), console);
  }

  private Optional<Command> findCommand(String[] args) {
    String line = String.join(" ", args) + " ";
    return commands.stream().filter(c -> line.startsWith(c.name() + " ")).findFirst();
  }

  private static ExitCode run(Command command, String[] args, Console console) {
    OptionParser parser = new OptionParser();
    parser.accepts(HELP, "show this help").forHelp();
    command.declareOptions(parser);
    try {
      OptionSet options = parser.parse(args);
      if (options.has(HELP)) {
        printHelp(command, parser, console);
        return ExitCode.DONE;
      }
      return command.run(options, console);
    } catch (OptionException | UsageException e) {
      console.err().println("pomelohollow: " + command.name() + ": " + e.getMessage());
      return ExitCode.USAGE;
    } catch (PomelohollowException e) {
      console.printError(e.code(), e.getMessage());
      return ExitCode.FAILED;
    }
  }

  private static void printHelp(Command command, OptionParser parser, Console console) {
    console.out().println("pomelohollow " + command.name() + ": " + command.summary());
    try {
      parser.printHelpOn(console.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void printCommands(Console console) {
    console.out().println("usage: pomelohollow COMMAND [OPTION...]");
    console.out().println();
    for (Command c : commands) {
      console.out().printf("  %-18s %s%n", c.name(), c.summary());
    }
    console.out().println();
    console.out().println("Every command has --help.");
  }
}
