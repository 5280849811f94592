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

  Scenario: A note that rides on two heartbeats that cross is heard once
    # The first heartbeat's answer is late, so the second one carries the note again, with the
    # next change of its sender. A listener that was told twice would act twice.
    Given a fleet with 2 VMs in "dakar-1" and 1 VMs in "thies-1"
    When fleet VM "dakar-1.1" publishes an urgent note
    Then every other VM of "dakar-1" hears the note
    When the note of "dakar-1.1" reaches "dakar-1.2" once more, with a later change
    Then every other VM of "dakar-1" hears the note

  Scenario: A region's forecast reaches the VMs of other regions
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    When every VM of "dakar-1" reports a wait of 70 ms
    Then every VM of "thies-1" sees a wait of 70 ms for region "dakar"
    And no VM of "dakar-1" sees a forecast of its own region

  Scenario Outline: The platform's list is lagging or wrong
    # The list still names dead VMs and earlier lives, lacks running ones, or holds nonsense.
    # It only says whom to try: the view must not change by it.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the platform's list <fault>
    And a VM "dakar-1.late" joins the fleet in "dakar-1"
    Then every VM of the fleet sees exactly the running VMs

    Examples:
      | fault                             |
      | names VMs that are long gone      |
      | names earlier lives of all VMs    |
      | names only one VM                 |
      | holds an entry that is not a VM   |

  Scenario: The platform goes out
    # No lease can be renewed and no list read. The VMs keep what they know and their
    # heartbeats: a crash is still noticed and nobody else is lost.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the fleet's platform goes out
    And fleet VM "dakar-1.2" crashes
    Then every VM of the fleet sees exactly the running VMs

  Scenario: Half of a fleet that never met
    # Both data centres' VMs started while the platform was out, with no seeds: each is
    # alone. Once the list can be read they find each other.
    Given the fleet's platform is out
    And VMs started alone in "dakar-1" and "thies-1"
    When the fleet's platform is back
    Then every VM of the fleet sees exactly the running VMs

  Scenario: One VM cannot connect to another, which is well
    # A firewall rule or routing fault between just two VMs, one way. Others reach the VM, so
    # it must stay in everyone's view.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" can no longer connect to "dakar-1.2"
    Then for 1200 ms every VM of the fleet sees exactly the running VMs

  Scenario: A VM that can connect to nobody but is reached by all
    # One-way partition: its own heartbeats fail and nobody answers its questions. It must
    # accuse no one: nothing is lost from any view.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" can no longer connect to anyone
    Then for 1200 ms the other VMs of the fleet see exactly the running VMs
    And no VM of the fleet was accused

  Scenario: A VM that nobody can connect to but which reaches all
    # The other half of a one-way partition. Its heartbeats are signs of life.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then for 1200 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that nobody can connect to, while the asked VMs stand still now and then
    # A process without a turn reads no heartbeats: they wait in its socket. On waking it must
    # not tell others that a VM was silent because it had not listened itself.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then through 8 standstills of 250 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that nobody can connect to, while all stand still for longer than a call may take
    # Every call that was under way ends unanswered, those to witnesses and to other data centres
    # as well. A VM that stood still itself must take neither for their silence.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then through 8 standstills of 700 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that nobody can connect to, and whose word could not be confirmed for a while
    # Its neighbour reached no witness and left it out of its own view. Once the witnesses answer
    # that they hear it, it is named to callers again.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    And a VM that never hears "dakar-1.1" itself reaches no witness for a while
    Then the other VMs of the fleet see exactly the running VMs again

  Scenario: A VM goes silent without its connections closing
    # The VM is stopped, or its switch port is dead: nothing refuses, nothing answers.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" is cut off silently both ways
    Then the other VMs of the fleet no longer see it
    When the cut-off VM is connected again
    Then every VM of the fleet sees exactly the running VMs

  Scenario: Data centres lose each other and meet again
    # Each side goes on with its own VMs and names only these to callers. After the partition
    # the same VMs, with the same incarnations, are in both views again: their idempotency
    # keys and shares are still good.
    Given a fleet with 3 VMs in "dakar-1" and 3 VMs in "thies-1"
    When the fleet's data centres lose each other
    Then the VMs of "dakar-1" see exactly their own VMs
    And the VMs of "thies-1" see exactly their own VMs
    And a VM of "dakar-1" still finds the incarnations of "thies-1"
    When the fleet's data centres meet again
    Then every VM of the fleet sees exactly the running VMs

  Scenario: The delegate between two data centres dies
    # The one VM that speaks for its data centre is gone. The next in line takes over before
    # the other side counts as cut off.
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    When the delegate of "dakar-1" towards "thies-1" crashes
    Then for 2500 ms the VMs of "thies-1" see the VMs of "dakar-1" that run
    And every VM of the fleet sees exactly the running VMs

  Scenario: A VM whose name was taken by a later process
    # A VM paused so long that it was replaced under its name comes back. It must not fight
    # for the name.
    Given a fleet with 3 VMs in "dakar-1" and 1 VMs in "thies-1"
    When a later process takes the name of "dakar-1.2"
    Then the old process of "dakar-1.2" counts as superseded
    And every VM of the fleet sees the later process only

  Scenario: All VMs of a data centre leave while the rest of each still shuts down
    # Membership has said its last word, other services still finish. The data centre's list
    # is empty in every view, also in that of the leaving VMs.
    Given a fleet with 2 VMs in "dakar-1" and 1 VMs in "thies-1"
    When the membership of all VMs of "dakar-1" is drained and 40 heartbeats pass
    Then no service of the fleet crashed
    And the VMs of "thies-1" see exactly their own VMs
