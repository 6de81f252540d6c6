package org.pomelohollow.standin.target;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the control paths of a target, under {@code /-/}: counters, faults and withdrawal. */
final class TargetControl {
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private TargetControl() {}

  static Publisher<Void> serve(
      TargetStandIn target, HttpServerRequest req, HttpServerResponse res) {
    return switch (req.fullPath()) {
      case "/-/counts" -> res.sendString(Mono.just(target.counts().describe()));
      case "/-/withdraw" -> {
        target.withdraw();
        yield res.send();
      }
      case "/-/faults" -> changeFaults(target, new QueryStringDecoder(req.uri()).parameters(), res);
      default -> res.status(NOT_FOUND).send();
    };
  }

  private static Publisher<Void> changeFaults(
      TargetStandIn target, Map<String, List<String>> q, HttpServerResponse res) {
    TargetFaults f = target.faults();
    try {
      target.setFaults(
          new TargetFaults(
              number(q, "slowdown", f.slowdown()),
              flag(q, "sheds", f.shedsAll()),
              flag(q, "crashes", f.crashesOnMark()),
              flag(q, "cuts", f.truncatesResponses()),
              flag(q, "silent", f.silent()),
              number(q, "load", f.reportedLoad())));
      return res.send();
    } catch (NumberFormatException e) {
      return res.status(BAD_REQUEST).sendString(Mono.just("not a number\n"));
    }
  }

  private static double number(Map<String, List<String>> q, String name, double defaultValue) {
    return q.containsKey(name) ? Double.parseDouble(q.get(name).get(0)) : defaultValue;
  }

  private static boolean flag(Map<String, List<String>> q, String name, boolean defaultValue) {
    return q.containsKey(name) ? Boolean.parseBoolean(q.get(name).get(0)) : defaultValue;
  }
}
