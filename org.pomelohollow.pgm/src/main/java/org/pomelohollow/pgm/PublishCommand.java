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

/** Publishes a document and tells what became of it. */
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
  public void declare(OptionParser parser) {
    parser.nonOptions("FILE");
    parser.accepts(LOG, "address of the log").withRequiredArg().required();
    parser
        .accepts(BASE, "version that the document was made from; without it the one in force")
        .withRequiredArg()
        .ofType(Long.class);
    parser.accepts(CHANGE_ID, "the same in every try to publish a change").withRequiredArg();
    parser
        .accepts(TIMEOUT, "longest wait, in seconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_TIMEOUT_SECONDS);
    parser.accepts(DRY_RUN, "only show what would change");
    parser.accepts(RESTORE, "start anew after every host and record of the configuration was lost");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    DocumentFile file = DocumentFile.argument(options);
    Change change = change(options, file.text());
    Optional<Document> d = file.check(console);
    if (d.isEmpty()) {
      return ExitCode.FAILED;
    }
    Duration timeout = Duration.ofSeconds((Integer) options.valueOf(TIMEOUT));
    try (ConfigLog log = new ConfigLog(Endpoint.parse((String) options.valueOf(LOG)))) {
      if (options.has(DRY_RUN)) {
        ConfigState s = log.current(timeout);
        console.out().println("version " + s.version() + " would change:");
        Difference.between(s, d.get()).forEach(console.out()::println);
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
      throw new UsageException("--" + CHANGE_ID + " is not well formed");
    }
    if (options.has(RESTORE)) {
      // Seconds since the epoch lie above any count of changes.
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
      console.error(r.code(), rejection(c, r));
      r.baseState()
          .ifPresent(b -> Difference.between(b, r.current()).forEach(console.out()::println));
    } else if (outcome instanceof Unknown u) {
      console.error(
          u.sent() ? ErrorCode.CONFIG_OUTCOME_UNKNOWN : ErrorCode.LOG_UNAVAILABLE, advice(u));
    }
    return ExitCode.FAILED;
  }

  private static String rejection(Change c, Rejected r) {
    return "change "
        + c.changeId()
        + " is rejected: its base is version "
        + r.base()
        + ", in force is version "
        + r.current().version()
        + " (change "
        + r.current().changeId()
        + ")";
  }

  private static String advice(Unknown u) {
    String what = u.sent() ? "the outcome is unknown" : "the change was not sent";
    return what + "; publish the same file again with --" + CHANGE_ID + " " + u.changeId();
  }
}
