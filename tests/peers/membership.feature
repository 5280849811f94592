Feature: Which VMs are in the fleet

  Scenario: VMs that start with the platform's list find each other
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    Then every VM of the fleet sees exactly the running VMs

  Scenario: VMs that start during a platform outage find each other through a seed
    Given the fleet's platform is out
    And a fleet with 3 VMs in "dakar-1" and 2 VMs in "thies-1" that know one seed
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A VM crashes
    # The process ends with no last word; its callers get refused connections. Its neighbour
    # asks others, who do not reach it either, and the news runs round the ring.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" crashes
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A VM leaves
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" stops
    Then every VM of the fleet sees exactly the running VMs
    And the platform's list names exactly the running VMs

  Scenario: A VM restarts at the same address
    # The new process listens where the old one did. News of the old one, still under way,
    # must neither hide the new one nor come back itself.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" crashes and restarts at once at the same address
    Then every VM of the fleet sees exactly the running VMs
    And no VM of the fleet finds the old incarnation

  Scenario: All VMs of a data centre are replaced one by one
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the VMs of "dakar-1" are replaced one by one
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A note reaches neighbours and an urgent one does so at once
    Given a fleet with 3 VMs in "dakar-1" and 1 VMs in "thies-1"
    When fleet VM "dakar-1.1" publishes an urgent note
    Then every other VM of "dakar-1" hears the note

  Scenario: A region's forecast reaches the VMs of other regions
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    When every VM of "dakar-1" reports a wait of 70 ms
    Then every VM of "thies-1" sees a wait of 70 ms for region "dakar"
    And no VM of "dakar-1" sees a forecast of its own region
