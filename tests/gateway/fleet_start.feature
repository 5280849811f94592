Feature: a fleet that has just started

  Scenario: VMs that all started at once soon agree on who places for their region
    # All were killed, and every caller comes back at once. For as long as nobody places for all,
    # each decides alone without knowing what the others send, and crowds servers.
    Given a fleet of 12 VMs in 2 data centres that hear each other
    When all of them have just started
    Then after 500 ms none counts on another to place
    And after 1200 ms each counts on all others of its region
