Feature: a fleet that has just started

  Scenario: VMs that all started at once soon agree on their placement coordinators
    # After all VMs were killed, every caller retries at once. While there is no coordinator, each
    # VM places by itself without knowing what the others send, and they overload the same servers.
    Given a fleet of 12 VMs in 2 data centres that receive each other's reports
    When all of them have just started
    Then after 500 ms none treats another as stable
    And after 1200 ms each treats all others of its region as stable
