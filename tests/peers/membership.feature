Feature: Fleet membership

  Scenario: VMs find each other through the platform's VM registry
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    Then every VM of the fleet sees exactly the running VMs

  Scenario: VMs that start during a platform outage find each other through a seed address
    Given the fleet's platform is unavailable
    And a fleet with 3 VMs in "dakar-1" and 2 VMs in "thies-1" that know one seed
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A VM crashes
    # The process ends without announcing it, and connections to it are refused. A heartbeat
    # partner asks witnesses, which do not reach it either, and the mark spreads over the ring.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" crashes
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A VM leaves
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" stops
    Then every VM of the fleet sees exactly the running VMs
    And the platform's VM registry names exactly the running VMs

  Scenario: A VM restarts at the same address
    # The new process listens at the old one's address. Records of the old one that are still in
    # transit must neither hide the new one nor bring the old one back.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.2" crashes and restarts at once at the same address
    Then every VM of the fleet sees exactly the running VMs
    And no VM of the fleet finds the old incarnation

  Scenario: All VMs of a data centre are replaced one by one
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the VMs of "dakar-1" are replaced one by one
    Then every VM of the fleet sees exactly the running VMs

  Scenario: An urgent note reaches the other VMs of its data centre
    Given a fleet with 3 VMs in "dakar-1" and 1 VMs in "thies-1"
    When fleet VM "dakar-1.1" publishes an urgent note
    Then every other VM of "dakar-1" receives the note exactly once

  Scenario: A note in two heartbeats that cross is delivered once
    # The reply to the first heartbeat is late, so the second one carries the note again, with the
    # next change of its sender. A listener that was called twice would act twice.
    Given a fleet with 2 VMs in "dakar-1" and 1 VMs in "thies-1"
    When fleet VM "dakar-1.1" publishes an urgent note
    Then every other VM of "dakar-1" receives the note exactly once
    When the note of "dakar-1.1" reaches "dakar-1.2" again, with a later change
    Then every other VM of "dakar-1" receives the note exactly once

  Scenario: A region's forecast reaches the VMs of other regions
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    When every VM of "dakar-1" reports a wait of 70 ms
    Then every VM of "thies-1" sees a wait of 70 ms for region "dakar"
    And no VM of "dakar-1" sees a forecast of its own region

  Scenario Outline: The platform's VM registry lags or is wrong
    # The registry still names dead VMs and earlier incarnations, lacks running VMs, or has an
    # invalid entry. Its entries are only hints about which VMs to contact and must not change the
    # view.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the platform's VM registry <fault>
    And a VM "dakar-1.late" joins the fleet in "dakar-1"
    Then every VM of the fleet sees exactly the running VMs

    Examples:
      | fault                             |
      | names VMs that left long ago      |
      | names earlier incarnations of all VMs    |
      | names only one VM                 |
      | holds an entry that is not a VM   |

  Scenario: The platform becomes unavailable
    # No lease can be renewed and the registry cannot be read. The VMs keep their views and
    # heartbeats: a crash is still detected and no other VM is lost.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When the fleet's platform becomes unavailable
    And fleet VM "dakar-1.2" crashes
    Then every VM of the fleet sees exactly the running VMs

  Scenario: VMs that started isolated find each other once the platform is available
    # The VMs of two data centres start during a platform outage, without seeds, so that each is
    # isolated. Once the registry can be read they must find each other.
    Given the fleet's platform is unavailable
    And VMs started in isolation in "dakar-1" and "thies-1"
    When the fleet's platform is available again
    Then every VM of the fleet sees exactly the running VMs

  Scenario: One VM cannot connect to another that runs
    # A firewall rule or routing fault between just two VMs, in one direction. Other VMs reach the
    # VM, so it must stay in all views.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" can no longer connect to "dakar-1.2"
    Then for 1200 ms every VM of the fleet sees exactly the running VMs

  Scenario: A VM that can connect to no other but is reached by all
    # A one-way partition: its heartbeats fail and so do its requests to witnesses. It must mark no
    # VM as silent, and no view may lose a VM.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" can no longer connect to anyone
    Then for 1200 ms the other VMs of the fleet see exactly the running VMs
    And no VM of the fleet was marked as silent

  Scenario: A VM that no other can connect to but which reaches all
    # A one-way partition in the other direction. The VM's heartbeats show that it runs.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then for 1200 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that no other can connect to, while the witnesses are paused now and then
    # A process that gets no CPU time reads no heartbeats: they wait in its socket. After the pause
    # it must not report a VM as not seen because it did not read itself.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then through 8 pauses of 250 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that no other can connect to, while all are paused for longer than a call's timeout
    # Every open call times out, including those to witnesses and to other data centres. A VM that
    # was paused itself must take neither for silence of the others.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    Then through 8 pauses of 700 ms the other VMs of the fleet see exactly the running VMs

  Scenario: A VM that no other can connect to, and that no witness confirms for a while
    # A VM that sends it heartbeats reached no witness and left it out of its own live VMs. Once
    # the witnesses reply that they receive its heartbeats, it must be named to callers again.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When nobody can connect to fleet VM "dakar-1.1" any longer
    And a VM that receives no heartbeats from "dakar-1.1" reaches no witness for a while
    Then the other VMs of the fleet see exactly the running VMs again

  Scenario: A VM goes silent without its connections closing
    # The VM is stopped or its switch port fails: connections are neither refused nor answered.
    Given a fleet with 4 VMs in "dakar-1" and 2 VMs in "thies-1"
    When fleet VM "dakar-1.1" loses all messages in both directions
    Then the other VMs of the fleet no longer see it
    When the cut-off VM is connected again
    Then every VM of the fleet sees exactly the running VMs

  Scenario: A partition between data centres begins and ends
    # Each side continues with its own VMs and names only these to callers. After the partition the
    # same VMs with the same incarnations must be in both views again, since their idempotency keys
    # and shares are still valid.
    Given a fleet with 3 VMs in "dakar-1" and 3 VMs in "thies-1"
    When the fleet's data centres are partitioned
    Then the VMs of "dakar-1" see exactly their own VMs
    And the VMs of "thies-1" see exactly their own VMs
    And a VM of "dakar-1" still finds the incarnations of "thies-1"
    When the partition of the fleet's data centres ends
    Then every VM of the fleet sees exactly the running VMs

  Scenario: The delegate between two data centres dies
    # The VM that exchanges heartbeats for its data centre is lost. Its deputy must take over before
    # the other side marks the data centre as cut off.
    Given a fleet with 4 VMs in "dakar-1" and 3 VMs in "thies-1"
    When the delegate of "dakar-1" towards "thies-1" crashes
    Then for 2500 ms the VMs of "thies-1" see the VMs of "dakar-1" that run
    And every VM of the fleet sees exactly the running VMs

  Scenario: A VM whose name was taken by a later process
    # A VM resumes after a pause so long that another process replaced it under its name. It must
    # not contend for the name.
    Given a fleet with 3 VMs in "dakar-1" and 1 VMs in "thies-1"
    When a later process takes the name of "dakar-1.2"
    Then the old process of "dakar-1.2" counts as superseded
    And every VM of the fleet sees the later process only

  Scenario: All VMs of a data centre leave while their other services still shut down
    # Membership has announced that the VMs left, and other services still finish. The data centre
    # has no live VMs in any view, including those of the leaving VMs, which must not fail.
    Given a fleet with 2 VMs in "dakar-1" and 1 VMs in "thies-1"
    When the membership of all VMs of "dakar-1" is drained and 40 heartbeats pass
    Then no service of the fleet crashed
    And the VMs of "thies-1" see exactly their own VMs
