package org.pomelohollow.daemon.internal.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** HTTP/1.1 servers whose connections run pipelined requests side by side. */
public final class CallerServer {
  private CallerServer() {}

  /**
   * Starts a server.
   *
   * @param address address to bind
   * @param loops event loops with one worker
   * @param limits bounds on requests and idle connections
   * @param leaving tells whether connections are to be closed behind their answers
   * @param handler takes the requests
   * @return the running server
   * @throws PomelohollowException with {@link ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
   */
  public static DisposableServer start(
      Endpoint address,
      LoopResources loops,
      Settings.Limits limits,
      BooleanSupplier leaving,
      InboundHandler handler) {
    HttpDecoderConfig decoder =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setValidateHeaders(true)
            .setAllowDuplicateContentLengths(false);
    try {
      return TcpServer.create()
          .runOn(loops)
          .host(address.address())
          .port(address.port())
          .doOnChannelInit(
              (observer, channel, remote) ->
                  channel
                      .pipeline()
                      .addBefore(
                          NettyPipeline.ReactiveBridge, "codec", new HttpServerCodec(decoder))
                      .addBefore(
                          NettyPipeline.ReactiveBridge,
                          "continue",
                          new HttpServerExpectContinueHandler())
                      .addBefore(
                          NettyPipeline.ReactiveBridge,
                          "idle",
                          new IdleStateHandler(
                              0, 0, limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
                      .addBefore(
                          NettyPipeline.ReactiveBridge,
                          "requests",
                          new CallerConnection(handler, leaving, limits.maxBodyBytes())))
          .handle((in, out) -> Mono.never())
          .bindNow();
    } catch (ChannelBindException e) {
      throw new PomelohollowException(
          ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen on " + address, e);
    }
  }
}
