package org.pomelohollow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.LocalAttemptHandler;
import org.pomelohollow.daemon.internal.call.TargetClient;
import org.pomelohollow.daemon.internal.call.TargetRequestRegistry;
import org.pomelohollow.daemon.internal.http.AdminServer;
import org.pomelohollow.daemon.internal.http.EntryPoint;
import org.pomelohollow.daemon.internal.http.HttpServers;
import org.pomelohollow.daemon.internal.http.InboundServer;
import org.pomelohollow.daemon.internal.link.PeerLinkListener;
import org.pomelohollow.daemon.internal.link.PeerLinks;
import org.pomelohollow.daemon.internal.log.LogPoller;
import org.pomelohollow.daemon.protocol.Deployment;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.WireCodec;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/** A daemon: the decisions of one node on one event loop, and the I/O around them. */
public final class Daemon implements AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration LIVENESS_CHECK = Duration.ofSeconds(1);
  private static final Duration LEAVE_GRACE = Duration.ofMillis(1_500);

  /** The platform notices within 2 s of 6 s that a daemon is no longer ready. */
  private static final int LISTENED_PERCENT_OF_GRACE = 45;

  /** With the time of listening and the time to drain, this stays within the grace. */
  private static final int LAST_NEWS_PERCENT_OF_GRACE = 5;

  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LAST_NEWS = Duration.ofSeconds(1);
  private static final Duration DRAIN_POLL = Duration.ofMillis(20);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

  private final Settings settings;
  private final LoopResources loops = LoopResources.create("pomelohollow", 1, true);
  private final Scheduler loop = Schedulers.fromExecutor(loops.onServer(true).next());
  private final WireCodec codec = new WireCodec();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final RequestLog requests = new RequestLog(this::configVersion);
  private final TargetRequestRegistry running = new TargetRequestRegistry();
  private final Deployment deployment;
  private final TargetClient target;
  private final MemberId self;
  private final EntryPoint entry;
  private final PeerLinks links;
  private final LogPoller log;
  private final TargetWatch watch;
  private InboundServer callerServer;
  private InboundServer targetServer;
  private DisposableServer adminServer;
  private Optional<InboundServer> readinessServer = Optional.empty();
  private Disposable documents = Disposables.disposed();
  private Node node;
  private boolean leaving;

  private Daemon(Settings settings, Deployment deployment) {
    this.settings = settings;
    this.deployment = deployment;
    this.target = new TargetClient(loops, deployment.targets(), this::targetUnreachable);
    this.self = new MemberId(settings.host(), System.currentTimeMillis());
    this.entry =
        new EntryPoint(
            self,
            running,
            System::nanoTime,
            settings.limits().maxBodyBytes(),
            deployment.callers(),
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
    this.log =
        new LogPoller(
            deployment.log(loops, codec), codec, loop, deployment.streams(), this::handle);
    this.watch = new TargetWatch(target, settings.limits().announceTimeout(), this::handle);
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings; port 0 takes any free port
   * @return the running daemon
   * @throws org.pomelohollow.errors.PomelohollowException with {@link
   *     org.pomelohollow.errors.ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
   */
  public static Daemon start(Settings settings) {
    return start(settings, new StandaloneDeployment(settings));
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings; port 0 takes any free port
   * @param deployment what it meets outside
   * @return the running daemon
   * @throws org.pomelohollow.errors.PomelohollowException with {@link
   *     org.pomelohollow.errors.ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
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

  /** Returns the identity of this run. */
  public MemberId self() {
    return self;
  }

  /** Returns the address for callers. */
  public Endpoint callerAddress() {
    return callerServer.address();
  }

  /** Returns the address for the target. */
  public Endpoint targetAddress() {
    return targetServer.address();
  }

  /** Returns the address for operators. */
  public Endpoint adminAddress() {
    return address(adminServer);
  }

  /** Returns the address for peers. */
  public Endpoint peerAddress() {
    return node.membership().roster().find(self).orElseThrow().peer();
  }

  /**
   * Stops gracefully: tells peers, takes no new work, waits for running requests, then closes.
   *
   * @return ends when the daemon has closed
   */
  public Mono<Void> stop() {
    return Mono.<Void>fromRunnable(this::leave)
        .subscribeOn(loop)
        .then(Mono.delay(leaveGrace(), loop))
        .then(Mono.fromRunnable(callerServer::drain))
        .then(when(this::isDrained).timeout(settings.limits().drainTimeout(), Mono.empty()))
        .then(when(node.claims()::canLeave).timeout(HAND_OVER_TIMEOUT, Mono.empty()))
        .then(Mono.delay(lastNews(), loop))
        .then(Mono.fromRunnable(this::close).subscribeOn(Schedulers.boundedElastic()))
        .then();
  }

  /** Returns how long new connections are taken, so that callers can learn to go elsewhere. */
  private Duration leaveGrace() {
    return partOfGrace(LISTENED_PERCENT_OF_GRACE).orElse(LEAVE_GRACE);
  }

  /** Returns how long the last messages to peers get. */
  private Duration lastNews() {
    return partOfGrace(LAST_NEWS_PERCENT_OF_GRACE).orElse(LAST_NEWS);
  }

  private Optional<Duration> partOfGrace(int percent) {
    return settings.platform().map(p -> p.grace().multipliedBy(percent).dividedBy(100));
  }

  /** Closes at once, running requests are cut. */
  @Override
  public void close() {
    log.stop();
    documents.dispose();
    links.close();
    Stream.of(callerServer, targetServer).filter(Objects::nonNull).forEach(InboundServer::close);
    disposeServer(adminServer);
    readinessServer.ifPresent(InboundServer::close);
    loops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block(CLOSE_TIMEOUT.multipliedBy(2));
    metrics.close();
  }

  private void listen() {
    int peerPort = links.listen(settings.listen().peer());
    Endpoint peer = new Endpoint(settings.listen().peer().address(), peerPort);
    Member me = new Member(self, peer, settings.zone(), Optional.empty(), false);
    node =
        new Node(
            new Node.Setup(me, settings.seeds(), deployment.terms()),
            entry,
            System::nanoTime,
            new SplittableRandom(self.hashCode()),
            this::carryOut);
    AttemptHandler here = targetSide();
    entry.open(node, m -> m.equals(self) ? here : (h, b, s) -> links.startAttempt(m, h, b, s));
    callerServer = server(settings.listen().caller(), entry::handleCallerRequest);
    targetServer =
        server(settings.listen().target(), deployment.targetSide(entry::handleOutboundCall, watch));
    readinessServer =
        settings.platform().map(p -> server(p.readiness(), deployment.readiness(this::isReady)));
    AdminServer as = new AdminServer(metrics.registry(), node::dump, node.config()::inForce);
    adminServer =
        HttpServers.start(
            settings.listen().admin(),
            loops,
            settings.limits().maxHeaderBytes(),
            settings.limits().idleTimeout(),
            as::serve);
    metrics.watch(node.admission()::load, links::count, node.config()::version);
    handle(new Event.RosterChanged(node.membership().roster()));
    log.start();
    documents = deployment.followDocuments(loop, this::handle);
    every(TICK, this::tick);
    every(LIVENESS_CHECK, this::checkConnections);
    Logger.info(
        "daemon: {} in {} listens on {} for callers", self, settings.zone(), callerAddress());
  }

  private InboundServer server(Endpoint a, InboundHandler handler) {
    return InboundServer.start(a, loops, settings.limits(), () -> leaving, handler);
  }

  private boolean isReady() {
    return !leaving && node.config().inForce().isPresent();
  }

  private long configVersion() {
    return node.config().version();
  }

  private void targetUnreachable() {
    watch.unreachable();
  }

  private void requestEnded(Exchange x, Verdict v, long nowNanos) {
    metrics.requestEnded(v, nowNanos - x.arrivedNanos());
    requests.ended(x, v, nowNanos);
  }

  private LocalAttemptHandler targetSide() {
    return new LocalAttemptHandler(node, target, running, System::nanoTime);
  }

  private void every(Duration d, Runnable r) {
    loops
        .onServer(true)
        .next()
        .scheduleWithFixedDelay(r, d.toNanos(), d.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void tick() {
    long now = System.nanoTime();
    watch.check(now);
    target.expireOverdue(now);
    handle(new Event.Tick());
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

  private void leave() {
    Logger.info("daemon: stopping, {} requests under way", entry.count() + running.count());
    leaving = true;
    handle(new Event.Stopping());
  }

  private boolean isDrained() {
    return entry.count() + running.count() == 0;
  }

  private Mono<Void> when(BooleanSupplier condition) {
    return Mono.fromSupplier(condition::getAsBoolean)
        .subscribeOn(loop)
        .filter(done -> done)
        .repeatWhenEmpty(n -> n.delayElements(DRAIN_POLL, loop))
        .then();
  }

  private void carryOut(Effect e) {
    if (e instanceof Effect.Send s) {
      links.send(s.to(), s.message());
    } else if (e instanceof Effect.SendToAddress s) {
      links.send(s.to(), s.message());
    } else if (e instanceof Effect.Append a) {
      log.append(a.appendId(), a.stream(), a.entry());
    } else if (e instanceof Effect.ReadFrom r) {
      log.seek(r.stream(), r.offset());
    } else if (e instanceof Effect.Note n) {
      write(n);
    }
  }

  private static void write(Effect.Note n) {
    if (n.warning()) {
      Logger.warn("{}: {}", n.part(), n.message());
    } else {
      Logger.info("{}: {}", n.part(), n.message());
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

  /** Hands what peers do to the node. */
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
      metrics.control("received", message, bytes);
      handle(new Event.MessageReceived(from, message));
    }

    @Override
    public void messageSent(PeerMessage message, int bytes) {
      metrics.control("sent", message, bytes);
    }

    @Override
    public void connectionRejected(String cause) {
      metrics.linkRejected();
      Logger.warn("links: connection closed: {}", cause);
    }
  }
}
