package org.pomelohollow.daemon.internal.call;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the HTTP responses of a target and detects bytes that follow a complete response. */
final class TargetResponseDecoder extends HttpResponseDecoder {
  private boolean bodiless;

  TargetResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Sets the method of the request whose response is decoded next: responses to HEAD have no body.
   */
  void setMethod(HttpMethod m) {
    bodiless = m.equals(HttpMethod.HEAD);
  }

  /** Returns whether bytes were received that belong to no message decoded so far. */
  boolean hasLeftover() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage m) {
    return bodiless || super.isContentAlwaysEmpty(m);
  }
}
