package org.pomelohollow.model;

/**
 * Priority of a request, which decides the order of load shedding.
 *
 * @param rank position in the document's list of priorities; 0 is the most important
 */
public record Priority(int rank) implements Comparable<Priority> {
  /** Maximum number of priorities that a document can define. */
  public static final int MAX_COUNT = 16;

  /** The most important priority. */
  public static final Priority HIGHEST = new Priority(0);

  /** Less important than every priority that a document can define; as a cut-off, sheds nothing. */
  public static final Priority NONE_SHED = new Priority(MAX_COUNT);

  /** Creates a priority after checking the rank. */
  public Priority {
    if (rank < 0 || rank > MAX_COUNT) {
      throw new IllegalArgumentException("priority rank " + rank + " is outside 0 to " + MAX_COUNT);
    }
  }

  /**
   * Returns whether requests of this priority are shed before those of another.
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
