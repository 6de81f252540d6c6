package org.pomelohollow.message;

/** Streams of the platform log that the system uses. */
public enum LogStream {
  /** Proposed configurations and checkpoints. */
  CONFIG("config"),
  /** Joins, renewals and leaves of members. */
  MEMBERS("members"),
  /** First grants and reclaims of rate shares. */
  QUOTA("quota"),
  /** Which members witness claims. */
  CLAIMS("claims");

  private final String streamName;

  LogStream(String streamName) {
    this.streamName = streamName;
  }

  /** Returns the name of the stream at the platform. */
  public String streamName() {
    return streamName;
  }
}
