Feature: what a VM does with tickets that reach it out of order

  Scenario: tickets that arrive before the ones they follow are held back
    # Peers and watches bring tickets in any order and twice. A VM that applied one before its
    # forerunners would show a state that no other VM ever passes through.
    Given a config service that stands alone at position 0
    When the config service learns positions "3 2 5 2"
    Then the config service stands at position 0
    When the config service learns positions "1 1 6"
    Then the config service stands at position 3
    When the config service learns positions "4"
    Then the config service stands at position 6
    And the config service shows tickets "1 2 3 4 5 6" in order

  Scenario: an older state that arrives whole is passed over
    Given a config service that stands alone at position 0
    When the config service learns positions "1 2 3 4"
    And the config service learns the whole state at position 2
    Then the config service stands at position 4
    When the config service learns the whole state at position 7
    Then the config service stands at position 7

  Scenario Outline: what counts as a confirmation
    Given freshness of a VM confirmed at time 1000
    When a head at position <head> is confirmed at time <at> by a VM that holds <held>
    Then its age at time 5000 is <age>

    Examples:
      | head | at   | held | age  |
      | 4    | 4000 | 4    | 1000 |
      | 4    | 4000 | 5    | 1000 |
      | 5    | 4000 | 4    | 4000 |
      | 4    | 500  | 4    | 4000 |

  Scenario: a later number wins for each object, whatever the order in the log
    # The log never holds a stale ticket, since none is accepted; a VM must not depend on it.
    Given a log in which ticket 5 sets account "shop" and then ticket 3 sets "shop" and "other"
    Then account "shop" is that of ticket 5 and "other" that of ticket 3

  Scenario: a deletion is remembered until its number alone refuses what it outranks
    # Numbers are forgotten from time to time. A deletion that is forgotten with them while the
    # floor is below it would let an older ticket, still allowed by number, bring back a
    # withdrawn key.
    Given a log long enough to forget numbers, with ticket 90000 deleting account "shop" first
    Then a ticket 80000 that sets account "shop" is refused as stale
    And a ticket at the floor is refused by its number
    And a deletion below the floor is forgotten

  Scenario: a platform that lost tickets confirms nothing
    When a config service at position 3 reads a platform whose log ends at 1
    Then the config service counts "log_went_back" and is not confirmed
