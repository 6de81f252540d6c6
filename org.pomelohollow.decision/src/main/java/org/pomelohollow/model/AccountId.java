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

  @Override
  public String toString() {
    return value;
  }
}
