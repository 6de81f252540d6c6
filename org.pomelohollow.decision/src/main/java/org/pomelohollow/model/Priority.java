package org.pomelohollow.model;

/**
 * Priority of a request.
 *
 * @param rank position in the document's list of priorities; 0 is the most important
 */
public record Priority(int rank) implements Comparable<Priority> {
  /** Most priorities that a document can define. */
  public static final int MAX_COUNT = 16;

  /** The most important priority. */
  public static final Priority HIGHEST = new Priority(0);

  /** Less important than every priority that a document can define: sheds nothing. */
  public static final Priority NONE_SHED = new Priority(MAX_COUNT);

  /** Checks the rank. */
  public Priority {
    if (rank < 0 || rank > MAX_COUNT) {
      throw new IllegalArgumentException("priority rank " + rank);
    }
  }

  /**
   * Tells whether this priority is shed before another.
   *
   * @param o another priority, not null
   * @return true if this one is less important
   */
  public boolean isLessImportantThan(Priority o) {
    return rank > o.rank;
  }

  @Override
  public int compareTo(Priority o) {
    return Integer.compare(rank, o.rank);
  }
}
