Feature: an accepted change ticket is in force and stays so

  Background:
    Given a config fleet of VMs "a1 a2 a3 b1" in data centres by first letter

  Scenario: a ticket is in force where it was accepted, then everywhere
    When VM "a3" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And account "shop" has rate 10 on VM "a3"
    When 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
    And the config positions on every VM only grew

  Scenario: two VMs of each data centre watch, the others learn from them
    When 20000 ms pass in the config fleet
    Then the platform holds 3 open watches
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM

  Scenario Outline: the verdict on a ticket names why
    # Operators race: the number was used for the same or other content, or a later number has
    # set the object. Each gets the answer that tells what is in force, and nothing changes.
    When VM "a1" submits ticket 5 with account "shop" at rate 10
    And VM "a2" submits ticket <number> with account "<account>" at rate <rate>
    Then the ticket ends with "<outcome>" naming "<text>"
    And account "shop" has rate 10 on VM "a2"

    Examples:
      | number | account | rate | outcome         | text                               |
      | 5      | shop    | 10   | position 1      |                                    |
      | 5      | shop    | 20   | ticket_conflict | number 5 was accepted with other   |
      | 4      | shop    | 20   | ticket_stale    | accounts 'shop': set by ticket 5   |
      | 4      | other   | 20   | position 2      |                                    |
      | 6      | sh op   | 20   | ticket_invalid  | accounts 'sh op': name             |

  Scenario: operators that race through different VMs are put in one order
    # Twelve tickets at once, from every VM, all comparing the same head: one write wins, the
    # others find the head moved, catch up, are judged anew and try again.
    When 12 tickets on accounts of their own are submitted at once through all VMs
    Then every raced ticket is accepted at a position of its own
    When 3000 ms pass in the config fleet
    Then every VM holds the same objects at position 12
    And the config positions on every VM only grew

  Scenario Outline: the answer of the write is lost
    # The transaction's answer never comes: the VM reads the head back. It finds its own ticket
    # there, or writes again under the same comparison, so the ticket is in the log once.
    When the next <count> platform <what> of VM "a1" are lost
    And VM "a1" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And the platform log holds 1 ticket

    Examples:
      | count | what           |
      | 1     | answers        |
      | 3     | answers        |
      | 1     | write requests |

  Scenario: the platform goes out before the lost answer can be read back
    # The operator is told that the outcome is unknown, and sends the same ticket again when the
    # platform is back, through another VM: the same 'accepted', at the same position.
    When the platform goes out right after VM "a1" writes ticket 1 with account "shop" at rate 10
    Then the ticket ends with "platform_unknown" naming "send it again"
    When the platform is back
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And the platform log holds 1 ticket

  Scenario: the platform is out
    When the platform is out
    And VM "a1" submits ticket 1 with account "shop" at rate 10
    Then the ticket ends with "platform_out" naming ""

  Scenario: a VM that was cut off comes back and never shows an older state
    # a1 is cut off from platform and peers while tickets are accepted elsewhere. It goes on
    # with what it has; back again it takes up what it missed, in order and in one step.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" is cut off from all
    And VM "b1" submits ticket 2 with account "shop" at rate 20
    And VM "b1" submits ticket 3 with account "shop" at rate 30
    And 5000 ms pass in the config fleet
    Then account "shop" has rate 10 on VM "a1"
    And account "shop" has rate 30 on VM "a2"
    And the age on VM "a1" is at least 4000 ms
    When VM "a1" is connected again
    And 5000 ms pass in the config fleet
    Then account "shop" has rate 30 on every VM
    And the rates of account "shop" seen on VM "a1" are "10 30"

  Scenario: a data centre that is cut off from the platform learns through peers
    When the platform is out for VMs "a1 a2 a3"
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    And 9000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
    And the age on VM "a3" is at most 6000 ms

  Scenario: two VMs that are cut off together do not refresh each other
    # a1 and a2 reach only each other, and each confirms what the other says. Since a
    # confirmation keeps its age when it is passed on, both grow old and say so.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And VMs "a1 a2" are cut off from all but each other
    And 30000 ms pass in the config fleet
    Then the age on VM "a1" is at least 29000 ms
    And the age on VM "a2" is at least 29000 ms
    And VM "a1" refuses as "config_stale" with a bound of 20000 ms
    And the age on VM "b1" is at most 3000 ms

  Scenario: heartbeats that a paused VM finds late confirm nothing
    # a1 was paused; heartbeats from before wait in its receive buffer and are read now. They
    # may name a peer to ask, but a1 must not count as fresh by them.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" is cut off from all
    And 10000 ms pass in the config fleet
    And VM "a1" reads an old heartbeat of "a2"
    Then the age on VM "a1" is at least 9000 ms

  Scenario: a new VM loads from a peer while the platform is out
    # Its first read fails, so it starts empty and refuses as not ready; its read-back finds a
    # peer that holds the state, by tickets or, with those gone from memory, as a whole.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And the platform is out
    And VM "a9" joins the config fleet
    And 4000 ms pass in the config fleet
    Then account "shop" has rate 10 on VM "a9"

  Scenario: a new VM loads a state in parts from a peer whose older tickets are gone
    When 30 tickets of 60000 bytes are submitted through VM "b1"
    And 3000 ms pass in the config fleet
    And the platform is out
    And VM "a9" joins the config fleet
    And 4000 ms pass in the config fleet
    Then VM "a9" holds the same objects as VM "b1"

  Scenario: compaction of the log during a watch and for a VM far behind
    # Snapshots are written every 10 tickets and older tickets removed. A VM that was cut off
    # meanwhile finds a gap after its own position and loads the snapshot. Watches continue.
    When VM "a1" is cut off from all
    And 35 tickets are submitted through VM "b1"
    And the platform history is compacted under the config fleet
    Then the platform log holds at most 20 tickets
    When VM "a1" is connected again
    And 5000 ms pass in the config fleet
    Then every VM holds the same objects at position 35
    And the config positions on every VM only grew

  Scenario: a number is answered the same after its ticket was compacted away
    When 35 tickets are submitted through VM "b1"
    And VM "c1" joins the config fleet
    And VM "c1" submits the 2nd of those tickets again
    Then the ticket is accepted at position 2
    And VM "b1" lists 5 tickets after 28 and none twice

  Scenario: a watch that fell silent is found by the read-back
    When the watches of all VMs go silent
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    And 9000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM

  Scenario: an older ticket that arrives late does not revive a deleted object
    # Ticket 2 is held up on its way while ticket 3 deletes the account. When it arrives it is
    # refused, as it is for every VM, also after compaction.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" submits ticket 3 that deletes account "shop"
    And 35 tickets are submitted through VM "b1"
    And VM "a1" submits ticket 2 with account "shop" at rate 20
    Then the ticket ends with "ticket_stale" naming "accounts 'shop': set by ticket 3"

  Scenario: a call waits for the position that its sender acted on
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    Then VM "b1" waits for position 1 within 1000 ms
    And VM "b1" is behind position 2 after 1000 ms

  Scenario: a platform that lost accepted tickets does not take them back
    # The service was restored from an old backup: its log ends before what is in force. No VM
    # goes back; new tickets are refused until operators have replaced the VMs.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And the platform forgets everything
    And 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
