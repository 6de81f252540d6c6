package org.pomelohollow.model;

/**
 * Name of a client account.
 *
 * @param value name that {@link Names#isValid} accepts
 */
public record AccountId(String value) implements Comparable<AccountId> {
  /** Creates an identifier after checking the name. */
  public AccountId {
    Names.check("account", value);
  }

  @Override
  public int compareTo(AccountId o) {
    return value.compareTo(o.value);
  }

  // Explicit, since the generated methods of records are slow in code compiled by the C1 compiler.
  @Override
  public boolean equals(Object o) {
    return o instanceof AccountId other && value.equals(other.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
