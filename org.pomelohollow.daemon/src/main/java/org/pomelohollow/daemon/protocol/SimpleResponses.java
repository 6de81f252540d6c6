package org.pomelohollow.daemon.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Factory of short, complete responses. */
public final class SimpleResponses {
  private SimpleResponses() {}

  /**
   * Creates a response without a body.
   *
   * @param status status of the response
   * @return the response
   */
  public static FullHttpResponse empty(HttpResponseStatus status) {
    return of(status, Unpooled.EMPTY_BUFFER);
  }

  /**
   * Creates a response with a text body.
   *
   * @param status status of the response
   * @param text body of the response, sent in UTF-8
   * @return the response
   */
  public static FullHttpResponse text(HttpResponseStatus status, String text) {
    return of(status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static FullHttpResponse of(HttpResponseStatus status, ByteBuf body) {
    FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
    }
    return r;
  }
}
