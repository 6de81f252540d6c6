package org.pomelohollow.pgm;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.decision.config.Publication;
import org.pomelohollow.decision.config.Publication.Accepted;
import org.pomelohollow.decision.config.Publication.Change;
import org.pomelohollow.decision.config.Publication.Rejected;
import org.pomelohollow.decision.config.Publication.Unknown;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Names;

/** Publishes a configuration document and reports whether it was accepted. */
final class PublishCommand implements Command {
  private static final String LOG = "log";
  private static final String BASE = "base";
  private static final String CHANGE_ID = "change-id";
  private static final String TIMEOUT = "timeout";
  private static final String DRY_RUN = "dry-run";
  private static final String RESTORE = "restore";
  private static final int DEFAULT_TIMEOUT_SECONDS = 30;

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public String summary() {
    return "publish a document and wait until it is accepted or rejected";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("FILE");
    parser.accepts(LOG, "address of the log").withRequiredArg().required();
    parser
        .accepts(BASE, "version on which the document is based; by default the active version")
        .withRequiredArg()
        .ofType(Long.class);
    parser
        .accepts(
            CHANGE_ID, "identifies the change; give the same value in every attempt to publish it")
        .withRequiredArg();
    parser
        .accepts(TIMEOUT, "longest wait for the outcome, in seconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_TIMEOUT_SECONDS);
    parser.accepts(DRY_RUN, "only list what would change; publish nothing");
    parser.accepts(
        RESTORE, "start a new history after all hosts and records of the configuration were lost");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    DocumentFile file = DocumentFile.fromArguments(options);
    Change change = change(options, file.text());
    Optional<Document> document = file.check(console);
    if (document.isEmpty()) {
      return ExitCode.FAILED;
    }
    Duration timeout = Duration.ofSeconds((Integer) options.valueOf(TIMEOUT));
    try (ConfigLog log = new ConfigLog(Endpoint.parse((String) options.valueOf(LOG)))) {
      if (options.has(DRY_RUN)) {
        ConfigState s = log.readCurrent(timeout);
        console.out().println("version " + s.version() + " would change:");
        ConfigDiff.between(s, document.get()).forEach(console.out()::println);
        return ExitCode.DONE;
      }
      return report(change, log.publish(change, timeout), console);
    }
  }

  private static Change change(OptionSet options, String text) {
    String id =
        Optional.ofNullable((String) options.valueOf(CHANGE_ID))
            .orElseGet(() -> UUID.randomUUID().toString());
    if (!Names.isValid(id)) {
      throw new UsageException("--" + CHANGE_ID + " is not a valid name: \"" + id + "\"");
    }
    if (options.has(RESTORE)) {
      // The seconds since the epoch exceed any version that was reached by counting changes.
      return new Change(id, text, OptionalLong.of(Instant.now().getEpochSecond()), true);
    }
    Long base = (Long) options.valueOf(BASE);
    return new Change(id, text, base == null ? OptionalLong.empty() : OptionalLong.of(base), false);
  }

  private static ExitCode report(Change c, Publication.Outcome outcome, Console console) {
    if (outcome instanceof Accepted a) {
      console.out().println("accepted version " + a.version() + " change " + c.changeId());
      return ExitCode.DONE;
    }
    if (outcome instanceof Rejected r) {
      console.printError(r.code(), describeRejection(c, r));
      r.baseState()
          .ifPresent(b -> ConfigDiff.between(b, r.current()).forEach(console.out()::println));
    } else if (outcome instanceof Unknown u) {
      console.printError(
          u.sent() ? ErrorCode.CONFIG_OUTCOME_UNKNOWN : ErrorCode.LOG_UNAVAILABLE,
          describeUnknown(u));
    }
    return ExitCode.FAILED;
  }

  private static String describeRejection(Change c, Rejected r) {
    return "change "
        + c.changeId()
        + " was rejected: it is based on version "
        + r.base()
        + ", but the active version is "
        + r.current().version()
        + " (change "
        + r.current().changeId()
        + ")";
  }

  private static String describeUnknown(Unknown u) {
    String status = u.sent() ? "the outcome is unknown" : "the change was not sent";
    return status + "; publish the same file again with --" + CHANGE_ID + " " + u.changeId();
  }
}
