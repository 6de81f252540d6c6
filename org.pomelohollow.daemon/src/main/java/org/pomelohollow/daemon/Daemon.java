package org.pomelohollow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.LocalAttemptHandler;
import org.pomelohollow.daemon.internal.call.NoticeRelay;
import org.pomelohollow.daemon.internal.call.TargetClient;
import org.pomelohollow.daemon.internal.call.TargetRequestRegistry;
import org.pomelohollow.daemon.internal.http.AdminServer;
import org.pomelohollow.daemon.internal.http.EntryPoint;
import org.pomelohollow.daemon.internal.http.HttpServers;
import org.pomelohollow.daemon.internal.http.InboundServer;
import org.pomelohollow.daemon.internal.io.BodyBudget;
import org.pomelohollow.daemon.internal.link.PeerLinkListener;
import org.pomelohollow.daemon.internal.link.PeerLinks;
import org.pomelohollow.daemon.internal.log.LogPoller;
import org.pomelohollow.daemon.protocol.Deployment;
import org.pomelohollow.daemon.protocol.DocumentFeed;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.RolloutStatusStore;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.routing.TargetNoticeCache;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.WireCodec;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/**
 * Daemon process: runs the decisions of one {@link Node} on a single event loop and performs the
 * I/O with callers, the target, peers and the log.
 */
public final class Daemon implements AutoCloseable {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration LIVENESS_CHECK_INTERVAL = Duration.ofSeconds(1);

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

  private final Settings settings;
  private final LoopResources loops = LoopResources.create("pomelohollow", 1, true);
  private final Scheduler loop = Schedulers.fromExecutor(loops.onServer(true).next());
  private final WireCodec codec = new WireCodec();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final RequestLog requestLog = new RequestLog(this::configurationChange);
  private final CancellationLog cancellationLog = new CancellationLog(metrics);
  private final BodyBudget bodyBudget = BodyBudget.ofProcess();
  private final TargetNoticeCache notices = new TargetNoticeCache();
  private final TargetRequestRegistry runningRequests = new TargetRequestRegistry();
  private final Deployment deployment;
  private final TargetClient targetClient;
  private final MemberId self;
  private final EntryPoint entry;
  private final PeerLinks links;
  private final LogPoller logPump;
  private final TargetTracker targetTracker;
  private InboundServer callerServer;
  private InboundServer targetServer;
  private DisposableServer adminServer;
  private Optional<InboundServer> readinessServer = Optional.empty();
  private DocumentFeed documents = DocumentFeed.NONE;
  private RolloutStatusStore rolloutStatuses = RolloutStatusStore.NONE;
  private Node node;
  private boolean shuttingDown;

  private Daemon(Settings settings, Deployment deployment) {
    this.settings = settings;
    this.deployment = deployment;
    this.targetClient =
        new TargetClient(loops, deployment.targetProtocol(), this::targetUnreachable);
    this.self = new MemberId(settings.host(), System.currentTimeMillis());
    this.entry =
        new EntryPoint(
            self,
            runningRequests,
            System::nanoTime,
            settings.limits().maxBodyBytes(),
            bodyBudget,
            deployment.callerProtocol(),
            this::requestEnded);
    this.links =
        new PeerLinks(
            self,
            settings.secret(),
            codec,
            loops,
            (h, b, s) -> targetSide().startAttempt(h, b, s),
            new PeerEvents(),
            m -> node.membership().addressOf(m));
    this.logPump =
        new LogPoller(
            deployment.createLogClient(loops, codec),
            codec,
            loop,
            deployment.logStreams(),
            this::handle);
    this.targetTracker =
        new TargetTracker(targetClient, settings.limits().announceTimeout(), this::handle);
  }

  /**
   * Starts a daemon with the product's own protocols on all sides.
   *
   * @param settings settings of the daemon; port 0 binds any free port
   * @return the running daemon
   * @throws org.pomelohollow.errors.PomelohollowException with {@link
   *     org.pomelohollow.errors.ErrorCode#ADDRESS_UNAVAILABLE} if an address cannot be bound
   */
  public static Daemon start(Settings settings) {
    return start(settings, new StandaloneDeployment(settings));
  }

  /**
   * Starts a daemon.
   *
   * @param settings settings of the daemon; port 0 binds any free port
   * @param deployment protocols towards callers, the target, the log and operators
   * @return the running daemon
   * @throws org.pomelohollow.errors.PomelohollowException with {@link
   *     org.pomelohollow.errors.ErrorCode#ADDRESS_UNAVAILABLE} if an address cannot be bound
   */
  public static Daemon start(Settings settings, Deployment deployment) {
    Daemon d = new Daemon(settings, deployment);
    try {
      d.listen();
    } catch (PomelohollowException e) {
      d.close();
      throw e;
    }
    return d;
  }

  /** Returns the member identifier of this incarnation of the daemon. */
  public MemberId self() {
    return self;
  }

  /** Returns the address that accepts requests of callers. */
  public Endpoint callerAddress() {
    return callerServer.address();
  }

  /** Returns the address that the target of this host announces itself to. */
  public Endpoint targetAddress() {
    return targetServer.address();
  }

  /** Returns the address that serves metrics and dumps to operators. */
  public Endpoint adminAddress() {
    return address(adminServer);
  }

  /** Returns the address that accepts links of peers. */
  public Endpoint peerAddress() {
    return node.membership().roster().find(self).orElseThrow().peer();
  }

  /**
   * Shuts the daemon down gracefully: announces the shutdown to peers, accepts connections for a
   * while so that callers learn to use another daemon, waits for running requests and for the
   * handover of claims, sends the final messages to peers and closes.
   *
   * @return completes when the daemon has closed
   */
  public Mono<Void> shutdown() {
    return new GracefulShutdown(settings, loop, new ShutdownSteps()).run();
  }

  /** Closes the daemon at once and aborts running requests. */
  @Override
  public void close() {
    logPump.stop();
    documents.dispose();
    closeTargetClient();
    links.close();
    Stream.of(callerServer, targetServer).filter(Objects::nonNull).forEach(InboundServer::close);
    disposeServer(adminServer);
    readinessServer.ifPresent(InboundServer::close);
    loops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block(CLOSE_TIMEOUT.multipliedBy(2));
    metrics.close();
  }

  private void closeTargetClient() {
    try {
      loop.schedule(targetClient::close);
    } catch (RejectedExecutionException e) {
      Logger.debug("daemon: already closed: {}", e.toString());
    }
  }

  private void listen() {
    int peerPort = links.listen(settings.listen().peer());
    Endpoint peer = new Endpoint(settings.listen().peer().address(), peerPort);
    Member selfMember = new Member(self, peer, settings.zone(), Optional.empty(), false);
    node =
        new Node(
            new Node.Setup(selfMember, settings.seeds(), deployment.nodeSettings()),
            entry,
            System::nanoTime,
            System::currentTimeMillis,
            new SplittableRandom(self.hashCode()),
            this::executeEffect);
    AttemptHandler localTargetSide = targetSide();
    entry.open(
        node,
        m ->
            m.equals(self)
                ? localTargetSide
                : new NoticeRelay(notices, m, (h, b, s) -> links.startAttempt(m, h, b, s)));
    callerServer = startServer(settings.listen().caller(), entry::handleCallerRequest);
    targetServer =
        startServer(
            settings.listen().target(),
            deployment.createTargetHandler(entry::handleOutboundCall, targetTracker));
    readinessServer =
        settings
            .platform()
            .map(p -> startServer(p.readiness(), deployment.createReadinessHandler(this::isReady)));
    AdminServer admin = new AdminServer(metrics.registry(), node::dump, node.config()::active);
    adminServer =
        HttpServers.start(
            settings.listen().admin(),
            loops,
            settings.limits().maxHeaderBytes(),
            settings.limits().idleTimeout(),
            admin::serve);
    metrics.registerGauges(
        node.admission()::load,
        links::count,
        node.config()::version,
        () -> node.shares().sharedServices(System.nanoTime()),
        node.shares()::refusedCount,
        () -> node.config().configAgeMillis(System.nanoTime()));
    metrics.registerTargetFailing(node.admission()::isTargetFailing);
    metrics.registerRollouts(node.rollouts());
    handle(new Event.RosterChanged(node.membership().roster()));
    logPump.start();
    rolloutStatuses = deployment.rolloutStatuses(loop, this::handle);
    documents = deployment.followDocuments(loop, this::handle);
    LoopDelay delay = new LoopDelay(TICK_INTERVAL, System.nanoTime(), metrics::recordLoopDelay);
    scheduleEvery(TICK_INTERVAL, () -> tick(delay));
    scheduleEvery(LIVENESS_CHECK_INTERVAL, this::checkConnections);
    Logger.info(
        "daemon: {} in {} listens on {} for callers", self, settings.zone(), callerAddress());
  }

  private InboundServer startServer(Endpoint a, InboundHandler handler) {
    return InboundServer.start(
        a,
        loops,
        settings.limits(),
        bodyBudget,
        () -> shuttingDown,
        metrics::recordPausedReading,
        handler);
  }

  private boolean isReady() {
    return !shuttingDown && node.config().active().isPresent();
  }

  private String configurationChange() {
    return node.config().active().map(VersionedDocument::changeId).orElse("none");
  }

  private void targetUnreachable() {
    targetTracker.targetUnreachable();
  }

  private void requestEnded(Exchange x, Verdict v, long nowNanos) {
    metrics.recordRequest(v, nowNanos - x.arrivedNanos());
    requestLog.requestEnded(x, v, nowNanos);
  }

  private LocalAttemptHandler targetSide() {
    return new LocalAttemptHandler(
        node, targetClient, runningRequests, System::nanoTime, cancellationLog);
  }

  private void scheduleEvery(Duration d, Runnable r) {
    loops
        .onServer(true)
        .next()
        .scheduleWithFixedDelay(r, d.toNanos(), d.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void tick(LoopDelay delay) {
    long now = System.nanoTime();
    delay.taskRuns(now);
    targetTracker.checkTimeout(now);
    targetClient.expireOverdue(now);
    handle(new Event.Tick());
    metrics.registerSentOutside(node.zones());
  }

  private void checkConnections() {
    links.checkLiveness();
    long now = System.nanoTime();
    Stream.concat(Stream.of(callerServer, targetServer), readinessServer.stream())
        .forEach(s -> s.closeIdle(now));
  }

  private void handle(Event e) {
    node.handle(e);
  }

  private void executeEffect(Effect e) {
    if (e instanceof Effect.Send s) {
      links.send(s.to(), s.message());
    } else if (e instanceof Effect.SendToAddress s) {
      links.send(s.to(), s.message());
    } else if (e instanceof Effect.Append a) {
      logPump.append(a.appendId(), a.stream(), a.entry());
    } else if (e instanceof Effect.SeekStream r) {
      logPump.seek(r.stream(), r.offset());
    } else if (e instanceof Effect.ConfirmDocument) {
      documents.confirm();
    } else if (e instanceof Effect.ReadRolloutStatus) {
      rolloutStatuses.read();
    } else if (e instanceof Effect.WriteRolloutStatus w) {
      rolloutStatuses.write(w.status());
    } else if (e instanceof Effect.LogLine n) {
      writeLogLine(n);
    }
  }

  private static void writeLogLine(Effect.LogLine n) {
    if (n.warning()) {
      Logger.warn("{}: {}", n.prefix(), n.message());
    } else {
      Logger.info("{}: {}", n.prefix(), n.message());
    }
  }

  private static Endpoint address(DisposableServer s) {
    return new Endpoint(((InetSocketAddress) s.address()).getAddress().getHostAddress(), s.port());
  }

  private static void disposeServer(DisposableServer s) {
    if (s != null) {
      s.disposeNow(CLOSE_TIMEOUT);
    }
  }

  /** Steps of the graceful shutdown. */
  private final class ShutdownSteps implements GracefulShutdown.Steps {
    @Override
    public void begin() {
      Logger.info(
          "daemon: shutting down, {} requests running", entry.count() + runningRequests.count());
      shuttingDown = true;
      handle(new Event.ShutdownRequested());
    }

    @Override
    public void stopAccepting() {
      callerServer.drain();
    }

    @Override
    public void abortUploads() {
      callerServer.abortUploads();
    }

    @Override
    public void refuseRemaining() {
      entry.refuseAll();
    }

    @Override
    public boolean isDrained() {
      return entry.count() + runningRequests.count() == 0 && callerServer.isDrained();
    }

    @Override
    public boolean isHandedOver() {
      return node.claims().canLeave();
    }

    @Override
    public void close() {
      Daemon.this.close();
    }
  }

  /** Passes link events and peer messages to the node and counts them in the metrics. */
  private final class PeerEvents implements PeerLinkListener {
    @Override
    public void peerUp(MemberId peer) {
      handle(new Event.LinkUp(peer));
    }

    @Override
    public void peerLost(MemberId peer) {
      handle(new Event.LinkLost(peer));
    }

    @Override
    public void messageReceived(MemberId from, PeerMessage message, int bytes) {
      metrics.recordMessage("received", message, bytes);
      handle(new Event.MessageReceived(from, message));
    }

    @Override
    public void messageSent(PeerMessage message, int bytes) {
      metrics.recordMessage("sent", message, bytes);
    }

    @Override
    public void connectionRejected(String cause) {
      metrics.recordRejectedLink();
      Logger.warn("links: connection closed: {}", cause);
    }
  }
}
