Feature: a VM applies tickets that arrive out of order

  Scenario: tickets that arrive too early are held back
    # Peers and watches deliver tickets in any order and repeatedly. A VM that applied one before
    # its predecessors would show a state that no other VM ever has.
    Given the config service of a single VM at position 0
    When the config service receives positions "3 2 5 2"
    Then the config service is at position 0
    When the config service receives positions "1 1 6"
    Then the config service is at position 3
    When the config service receives positions "4"
    Then the config service is at position 6
    And the config service lists tickets "1 2 3 4 5 6" in order

  Scenario: a whole state older than the one in force is ignored
    Given the config service of a single VM at position 0
    When the config service receives positions "1 2 3 4"
    And the config service receives the whole state at position 2
    Then the config service is at position 4
    When the config service receives the whole state at position 7
    Then the config service is at position 7

  Scenario Outline: what counts as a confirmation
    Given a VM whose state was confirmed at time 1000
    When a head at position <head> is confirmed at time <at> by a VM at position <held>
    Then its age at time 5000 is <age>

    Examples:
      | head | at   | held | age  |
      | 4    | 4000 | 4    | 1000 |
      | 4    | 4000 | 5    | 1000 |
      | 5    | 4000 | 4    | 4000 |
      | 4    | 500  | 4    | 4000 |

  Scenario: the highest number wins for each object, whatever the order in the log
    # Stale tickets are refused, so the log should hold none, but a VM must not depend on that.
    Given a log in which ticket 5 sets account "shop" and then ticket 3 sets "shop" and "other"
    Then account "shop" is as in ticket 5 and "other" as in ticket 3

  Scenario: a deletion is kept until older tickets are refused by number alone
    # Old numbers are dropped from time to time. If a deletion above the floor were dropped with
    # them, an older ticket whose number is still allowed could restore a revoked key.
    Given a log long enough to drop numbers, with ticket 90000 deleting account "shop" first
    Then a ticket 80000 that sets account "shop" is refused as stale
    And a ticket at the floor is refused as below the floor
    And a deletion below the floor is dropped

  Scenario: a read from a platform that lost tickets confirms nothing
    When a config service at position 3 reads a platform whose log ends at 1
    Then the config service counts "log_went_back" and is not confirmed
