package org.pomelohollow.wire;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Immutable byte sequence with equality by content. */
public final class Bytes {
  /** The empty byte sequence. */
  public static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /**
   * Wraps an array without copying it. The caller must not use the array afterwards.
   *
   * @param content the bytes, not null
   * @return the byte sequence
   */
  @JsonCreator
  public static Bytes of(byte[] content) {
    return content.length == 0 ? EMPTY : new Bytes(content);
  }

  /**
   * Returns the wrapped array itself, which the caller must not modify.
   *
   * @return the array, not null
   */
  @JsonValue
  public byte[] array() {
    return content;
  }

  /** Returns the number of bytes. */
  public int length() {
    return content.length;
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Bytes b && Arrays.equals(content, b.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  @Override
  public String toString() {
    return content.length + " bytes";
  }
}
