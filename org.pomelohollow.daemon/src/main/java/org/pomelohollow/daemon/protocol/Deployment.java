package org.pomelohollow.daemon.protocol;

import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.NodeSettings;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.wire.LogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/** What a daemon meets outside: callers, target, log and operators. */
public interface Deployment {
  /** Returns what callers speak. */
  CallerProtocol callers();

  /** Returns what the target speaks. */
  TargetProtocol targets();

  /** Returns what differs in the decisions. */
  NodeSettings terms();

  /** Returns the streams of the log that are read and written. */
  Set<LogStream> streams();

  /**
   * Connects to the log.
   *
   * @param loops event loops to run on
   * @param codec codec of its records
   * @return the client
   */
  LogClient log(LoopResources loops, WireCodec codec);

  /**
   * Creates what serves the address for the target.
   *
   * @param outbound takes the target's own calls, if they come to the same address
   * @param events hears of the target
   * @return the handler
   */
  InboundHandler targetSide(InboundHandler outbound, TargetEvents events);

  /**
   * Creates what tells the platform whether the daemon takes requests.
   *
   * @param ready tells it
   * @return the handler
   */
  InboundHandler readiness(BooleanSupplier ready);

  /**
   * Follows the operators' documents, where they don't come in a stream of {@link #streams}.
   *
   * @param loop event loop that events are given on
   * @param events takes {@link Event.DocumentPublished}
   * @return stops it
   */
  Disposable followDocuments(Scheduler loop, Consumer<Event> events);
}
