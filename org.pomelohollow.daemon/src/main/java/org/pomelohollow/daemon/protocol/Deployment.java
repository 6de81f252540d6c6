package org.pomelohollow.daemon.protocol;

import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.NodeSettings;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.wire.LogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/** Protocols and settings by which a daemon works with its callers, target, log and operators. */
public interface Deployment {
  /** Returns the protocol of the callers. */
  CallerProtocol callerProtocol();

  /** Returns the protocol of the target. */
  TargetProtocol targetProtocol();

  /** Returns the settings of the node's decisions. */
  NodeSettings nodeSettings();

  /** Returns the streams of the log that the daemon reads and writes. */
  Set<LogStream> logStreams();

  /**
   * Creates the client of the log.
   *
   * @param loops event loops that the client runs on
   * @param codec codec of the records
   * @return the client
   */
  LogClient createLogClient(LoopResources loops, WireCodec codec);

  /**
   * Creates the handler of requests to the daemon's address for its target.
   *
   * @param outbound handler of the target's outbound calls, if they arrive at the same address
   * @param listener listener for announcements and withdrawals of the target
   * @return the handler
   */
  InboundHandler createTargetHandler(InboundHandler outbound, TargetLifecycleListener listener);

  /**
   * Creates the handler of the platform's readiness checks.
   *
   * @param ready returns whether the daemon accepts requests
   * @return the handler
   */
  InboundHandler createReadinessHandler(BooleanSupplier ready);

  /**
   * Starts to follow the operators' documents, if they are not in one of the {@link #logStreams}.
   *
   * @param loop event loop on which events are passed on
   * @param events receives an {@link Event.DocumentPublished} for each document
   * @return the feed, which stops following when disposed
   */
  DocumentFeed followDocuments(Scheduler loop, Consumer<Event> events);

  /**
   * Returns the store of the states of roll-outs.
   *
   * @param loop event loop on which events are passed on
   * @param events receives an {@link Event.RolloutStatusRead} after each successful call
   * @return the store
   */
  default RolloutStatusStore rolloutStatuses(Scheduler loop, Consumer<Event> events) {
    return RolloutStatusStore.NONE;
  }
}
