package org.pomelohollow.model;

/**
 * Name of a client account.
 *
 * @param value non-empty name
 */
public record AccountId(String value) implements Comparable<AccountId> {
  /** Checks the name. */
  public AccountId {
    Names.check("account", value);
  }

  @Override
  public int compareTo(AccountId o) {
    return value.compareTo(o.value);
  }

  // Written out, since the compiler's own form is slow under the first-tier compiler.
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
