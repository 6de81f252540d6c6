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

/** Entry point: finds the subcommand and runs it. */
public final class Main {
  private static final String HELP = "help";

  private final List<Command> commands =
      List.of(
          new CheckCommand(),
          new BenchOverheadCommand(),
          new BenchSurgeCommand(),
          new DaemonCommand(),
          new DemoCommand(),
          new DumpCommand(),
          new KeyCommand(),
          new LogCommand(),
          new PublishCommand(),
          new RehearseCommand(),
          new ShowCommand(),
          new TargetCommand());

  private Main() {}

  /**
   * Runs the program.
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
   * Runs a command line.
   *
   * @param args subcommand and its arguments
   * @param console where to write
   * @return how it ended
   */
  static ExitCode execute(String[] args, Console console) {
    return new Main().run(args, console);
  }

  private ExitCode run(String[] args, Console console) {
    if (args.length == 0 || args[0].equals("--" + HELP)) {
      list(console);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
    }
    Optional<Command> command = find(args);
    if (command.isEmpty()) {
      console.err().println("pomelohollow: unknown command \"" + args[0] + "\"; see --help");
      return ExitCode.USAGE;
    }
    int words = command.get().name().split(" ", -1).length;
    return run(command.get(), Arrays.copyOfRange(args, words, args.length), console);
  }

  private Optional<Command> find(String[] args) {
    String line = String.join(" ", args) + " ";
    return commands.stream().filter(c -> line.startsWith(c.name() + " ")).findFirst();
  }

  private static ExitCode run(Command command, String[] args, Console console) {
    OptionParser parser = new OptionParser();
    parser.accepts(HELP, "show this help").forHelp();
    command.declare(parser);
    try {
      OptionSet options = parser.parse(args);
      if (options.has(HELP)) {
        help(command, parser, console);
        return ExitCode.DONE;
      }
      return command.run(options, console);
    } catch (OptionException | UsageException e) {
      console.err().println("pomelohollow: " + command.name() + ": " + e.getMessage());
      return ExitCode.USAGE;
    } catch (PomelohollowException e) {
      console.error(e.code(), e.getMessage());
      return ExitCode.FAILED;
    }
  }

  private static void help(Command command, OptionParser parser, Console console) {
    console.out().println("pomelohollow " + command.name() + ": " + command.summary());
    try {
      parser.printHelpOn(console.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void list(Console console) {
    console.out().println("usage: pomelohollow COMMAND [OPTION...]");
    console.out().println();
    for (Command c : commands) {
      console.out().printf("  %-18s %s%n", c.name(), c.summary());
    }
    console.out().println();
    console.out().println("Every command has --help.");
  }
}
