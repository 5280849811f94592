Feature: which VMs of a data centre watch the store

  Scenario: in a small data centre all watch
    Given a data centre of 4 VMs that have heard each other
    Then 4 VMs watch

  Scenario: in a large one two watch, and the others hear from them
    # All watch at the start, since nobody has heard that others do.
    Given a data centre of 14 VMs that have heard each other
    Then 2 VMs watch

  Scenario Outline: a watcher that is lost is followed by the next in order
    # With both gone at once, nobody tells the others of changes any more.
    Given a data centre of 14 VMs that have heard each other
    When <lost> watching VMs <what>
    Then <count> VMs watch that are heard and follow the store

    Examples:
      | lost | what                 | count |
      | 1    | are heard no more    | 2     |
      | 2    | are heard no more    | 2     |
      | 1    | don't follow any more | 2     |
      | 2    | don't follow any more | 2     |

  Scenario: a VM that hears nobody watches itself
    Given a data centre of 14 VMs that have heard each other
    When one VM that doesn't watch hears nobody any more
    Then it watches

  Scenario: watchers of a fleet
    Then data centres of "3, 3, 14, 390" VMs have 10 watchers
