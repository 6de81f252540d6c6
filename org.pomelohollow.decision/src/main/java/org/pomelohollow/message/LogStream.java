package org.pomelohollow.message;

/** Streams of the platform log that daemons read and append to. */
public enum LogStream {
  /** Configuration proposals, restores and checkpoints. */
  CONFIG("config"),
  /** Joins, renewals and leaves of members. */
  MEMBERS("members"),
  /** Claims of the quota pieces of client accounts by their holders. */
  QUOTA("quota"),
  /** Proposals and checkpoints of the ring of members that witness claims. */
  CLAIMS("claims");

  private final String streamName;

  LogStream(String streamName) {
    this.streamName = streamName;
  }

  /** Returns the name of the stream in the platform log. */
  public String streamName() {
    return streamName;
  }
}
