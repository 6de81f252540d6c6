package org.pomelohollow.daemon;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pomelohollow.daemon.internal.call.StandaloneTargetProtocol;
import org.pomelohollow.daemon.internal.http.StandaloneCallerProtocol;
import org.pomelohollow.daemon.internal.http.TargetServer;
import org.pomelohollow.daemon.protocol.CallerProtocol;
import org.pomelohollow.daemon.protocol.Deployment;
import org.pomelohollow.daemon.protocol.DocumentFeed;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.SimpleResponses;
import org.pomelohollow.daemon.protocol.TargetLifecycleListener;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.NodeSettings;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.LogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/** Deployment with the product's own protocols on all sides. */
final class StandaloneDeployment implements Deployment {
  private final Settings settings;

  StandaloneDeployment(Settings settings) {
    this.settings = settings;
  }

  @Override
  public CallerProtocol callerProtocol() {
    return new StandaloneCallerProtocol();
  }

  @Override
  public TargetProtocol targetProtocol() {
    return new StandaloneTargetProtocol();
  }

  @Override
  public NodeSettings nodeSettings() {
    return NodeSettings.DEFAULT;
  }

  @Override
  public Set<LogStream> logStreams() {
    return EnumSet.allOf(LogStream.class);
  }

  @Override
  public LogClient createLogClient(LoopResources loops, WireCodec codec) {
    return new HttpLogClient(settings.log(), loops, codec);
  }

  @Override
  public InboundHandler createTargetHandler(
      InboundHandler outbound, TargetLifecycleListener listener) {
    return new TargetServer(outbound, listener);
  }

  @Override
  public InboundHandler createReadinessHandler(BooleanSupplier ready) {
    return in ->
        in.respond(
            SimpleResponses.empty(
                ready.getAsBoolean()
                    ? HttpResponseStatus.NO_CONTENT
                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
  }

  @Override
  public DocumentFeed followDocuments(Scheduler loop, Consumer<Event> events) {
    return DocumentFeed.NONE;
  }
}
