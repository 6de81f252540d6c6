package org.pomelohollow.daemon.internal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pomelohollow.daemon.internal.call.TargetRequestRegistry;
import org.pomelohollow.daemon.internal.io.BodyBudget;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.wire.HttpNames;
import reactor.core.publisher.Flux;

class EntryPointTest {
  private final List<String> responses = new ArrayList<>();

  /** Long bodies to targets that read slowly used up the memory for buffers of the daemon. */
  @Test
  void aRequestWithALongBodyIsRefusedAsNotRunWhileTheBudgetIsSpent() {
    entryPoint(new BodyBudget(0)).handleCallerRequest(new Request());
    assertEquals(List.of("503 not-run"), responses);
  }

  @Test
  void aRequestIsRefusedAsNotRunAfterTheOthersWereRefused() {
    EntryPoint e = entryPoint(new BodyBudget(1));
    e.refuseAll();
    e.handleCallerRequest(new Request());
    assertEquals(List.of("503 not-run"), responses);
  }

  private static EntryPoint entryPoint(BodyBudget budget) {
    return new EntryPoint(
        new MemberId("host", 1),
        new TargetRequestRegistry(),
        () -> 0,
        1 << 20,
        budget,
        new StandaloneCallerProtocol(),
        (x, v, now) -> {});
  }

  /** A request with a streamed body. */
  private final class Request implements InboundRequest {
    @Override
    public HttpRequest head() {
      return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
    }

    @Override
    public RequestBody body() {
      return RequestBody.streamed(Flux.never(), 100_000);
    }

    @Override
    public void respond(FullHttpResponse r) {
      responses.add(r.status().code() + " " + r.headers().get(HttpNames.VERDICT));
    }

    @Override
    public long receivedNanos() {
      return 0;
    }

    @Override
    public void respond(HttpResponse head, Flux<ByteBuf> body) {
      throw new AssertionError("a streamed response");
    }

    @Override
    public boolean replaceUnsent(FullHttpResponse r) {
      throw new AssertionError("replaced");
    }

    @Override
    public void abort() {
      throw new AssertionError("aborted");
    }

    @Override
    public void onDisconnect(Runnable r) {
      // The caller stays.
    }
  }
}
