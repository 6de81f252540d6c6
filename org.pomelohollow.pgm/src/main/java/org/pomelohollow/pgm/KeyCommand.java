package org.pomelohollow.pgm;

import java.security.SecureRandom;
import java.util.Base64;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.decision.request.ApiKeyDigest;

/** Generates an API key for a client account. */
final class KeyCommand implements Command {
  private static final int KEY_BYTES = 32;

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String summary() {
    return "generate an API key and its digest for the document";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    // No options.
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    byte[] b = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(b);
    String key = Base64.getUrlEncoder().withoutPadding().encodeToString(b);
    console.out().println("key " + key);
    console.out().println("sha256 " + ApiKeyDigest.of(key));
    return ExitCode.DONE;
  }
}
