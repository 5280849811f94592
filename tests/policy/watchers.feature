Feature: which VMs of a data centre watch the store

  Scenario: in a small data centre all watch
    Given a data centre of 4 VMs that are live to each other
    Then 4 VMs watch

  Scenario: in a large data centre two watch, and the others get changes from them
    # All watch at the start, since no VM has a report yet that others do.
    Given a data centre of 14 VMs that are live to each other
    Then 2 VMs watch

  Scenario Outline: a lost watcher is replaced by the next in the ranking
    # With both lost and not replaced, no VM would inform the others of changes.
    Given a data centre of 14 VMs that are live to each other
    When <lost> watching VMs <what>
    Then <count> live VMs watch the store

    Examples:
      | lost | what            | count |
      | 1    | stop reporting  | 2     |
      | 2    | stop reporting  | 2     |
      | 1    | lose the store  | 2     |
      | 2    | lose the store  | 2     |

  Scenario: an isolated VM watches itself
    Given a data centre of 14 VMs that are live to each other
    When one VM that doesn't watch becomes isolated
    Then it watches

  Scenario: watchers of a fleet
    Then data centres of "3, 3, 14, 390" VMs have 10 watchers
