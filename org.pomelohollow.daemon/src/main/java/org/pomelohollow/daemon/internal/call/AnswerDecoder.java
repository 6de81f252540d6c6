package org.pomelohollow.daemon.internal.call;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers of a target and tells of bytes behind them. */
final class AnswerDecoder extends HttpResponseDecoder {
  private boolean bodiless;

  AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Sets the method of the request that is answered next. */
  void setMethod(HttpMethod m) {
    bodiless = m.equals(HttpMethod.HEAD);
  }

  /** Tells whether bytes have come that belong to no message decoded so far. */
  boolean hasLeftover() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage m) {
    return bodiless || super.isContentAlwaysEmpty(m);
  }
}
