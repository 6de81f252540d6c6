package org.pomelohollow.model;

import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/**
 * Network address: an IP address and a port.
 *
 * @param address IP address in text form
 * @param port port number, 0 to 65535; 0 selects any free port when a socket is bound
 */
public record Endpoint(String address, int port) {
  private static final int MAX_PORT = 65_535;

  /** Creates an endpoint after checking address and port. */
  public Endpoint {
    if (address == null || address.isEmpty()) {
      throw new PomelohollowException(ErrorCode.TOML_OUT_OF_RANGE, "address is empty");
    }
    if (port < 0 || port > MAX_PORT) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, "port " + port + " is outside 0 to " + MAX_PORT);
    }
  }

  /**
   * Parses an endpoint of the form {@code address:port}. An IPv6 address must be in brackets.
   *
   * @param text the text, not null
   * @return the endpoint
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if the text is malformed
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw malformed(text);
    }
    String address = text.substring(0, colon);
    if (address.startsWith("[") && address.endsWith("]")) {
      address = address.substring(1, address.length() - 1);
    }
    try {
      return new Endpoint(address, Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw malformed(text);
    }
  }

  @Override
  public String toString() {
    return address.indexOf(':') >= 0 ? "[" + address + "]:" + port : address + ":" + port;
  }

  private static PomelohollowException malformed(String text) {
    return new PomelohollowException(
        ErrorCode.TOML_OUT_OF_RANGE, "\"" + text + "\" is not of the form address:port");
  }
}
