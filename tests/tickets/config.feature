Feature: an accepted change ticket takes effect and stays in force

  Background:
    Given a config fleet of VMs "a1 a2 a3 b1" in data centres by first letter

  Scenario: a ticket is in force where it was accepted, then everywhere
    When VM "a3" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And account "shop" has rate 10 on VM "a3"
    When 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
    And the config positions on every VM never decreased

  Scenario: two VMs of each data centre watch the store, the others get tickets from them
    When 20000 ms pass in the config fleet
    Then the platform holds 3 open watches
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM

  Scenario Outline: a refused ticket is answered with the reason
    # Operators submit concurrently: the number was used for the same or other content, or a
    # higher number has set the object. Each response names what is in force; nothing changes.
    When VM "a1" submits ticket 5 with account "shop" at rate 10
    And VM "a2" submits ticket <number> with account "<account>" at rate <rate>
    Then the ticket results in "<outcome>" mentioning "<text>"
    And account "shop" has rate 10 on VM "a2"

    Examples:
      | number | account | rate | outcome         | text                               |
      | 5      | shop    | 10   | position 1      |                                    |
      | 5      | shop    | 20   | ticket_conflict | number 5 was accepted with other   |
      | 4      | shop    | 20   | ticket_stale    | accounts 'shop': set by ticket 5   |
      | 4      | other   | 20   | position 2      |                                    |
      | 6      | sh op   | 20   | ticket_invalid  | accounts 'sh op': name             |

  Scenario: tickets submitted concurrently through different VMs get one order
    # Twelve tickets are submitted at once through every VM and compare the same head. One write
    # wins; the others see that the head has changed, catch up, are checked again and retry.
    When 12 tickets on different accounts are submitted at once through all VMs
    Then each of these tickets is accepted at a different position
    When 3000 ms pass in the config fleet
    Then every VM holds the same objects at position 12
    And the config positions on every VM never decreased

  Scenario Outline: the response to the write is lost
    # The response to the transaction is lost, so the VM reads the head back. It finds its ticket
    # there or writes again under the same comparison, so the ticket is in the log only once.
    When the next <count> platform <what> of VM "a1" are lost
    And VM "a1" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And the platform log holds 1 ticket

    Examples:
      | count | what           |
      | 1     | answers        |
      | 3     | answers        |
      | 1     | write requests |

  Scenario: the platform becomes unavailable before the lost write can be read back
    # The response says that the outcome is unknown. When the platform is available again, the
    # same ticket sent through another VM is accepted at the same position.
    When the platform becomes unavailable right after VM "a1" writes ticket 1 with account "shop" at rate 10
    Then the ticket results in "platform_unknown" mentioning "send it again"
    When the config platform is available again
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    Then the ticket is accepted at position 1
    And the platform log holds 1 ticket

  Scenario: a ticket is submitted while the platform is unavailable
    When the config platform is unavailable
    And VM "a1" submits ticket 1 with account "shop" at rate 10
    Then the ticket results in "platform_out" mentioning ""

  Scenario: a VM that was isolated catches up and never shows an older state
    # a1 is isolated from platform and peers while tickets are accepted elsewhere. It keeps its
    # state; once connected it applies what it missed, in order and in one step.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" is isolated from all
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

  Scenario: a data centre without access to the platform gets tickets from peers
    When the platform is unavailable to VMs "a1 a2 a3"
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    And 9000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
    And the age on VM "a3" is at most 6000 ms

  Scenario: two VMs that are isolated together do not keep each other fresh
    # a1 and a2 reach only each other, and each confirms the other's state. A confirmation keeps
    # its age when it is passed on, so the age of both grows.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And VMs "a1 a2" are isolated from all but each other
    And 30000 ms pass in the config fleet
    Then the age on VM "a1" is at least 29000 ms
    And the age on VM "a2" is at least 29000 ms
    And VM "a1" refuses as "config_stale" with a bound of 20000 ms
    And the age on VM "b1" is at most 3000 ms

  Scenario: heartbeats that a paused VM reads late confirm nothing
    # a1 was paused and now reads old heartbeats from its receive buffer. They are hints which
    # peer to ask, but must not make a1 count as fresh.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" is isolated from all
    And 10000 ms pass in the config fleet
    And VM "a1" reads an old heartbeat of "a2"
    Then the age on VM "a1" is at least 9000 ms

  Scenario: a new VM loads the state from a peer while the platform is unavailable
    # Its first read fails, so it starts empty and refuses requests as not ready. Its read-back
    # then gets the tickets from a peer, or the whole state if the peer no longer holds them.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And the config platform is unavailable
    And VM "a9" joins the config fleet
    And 4000 ms pass in the config fleet
    Then account "shop" has rate 10 on VM "a9"

  Scenario: a new VM loads the state in parts from a peer that no longer holds older tickets
    When 30 tickets of 60000 bytes are submitted through VM "b1"
    And 3000 ms pass in the config fleet
    And the config platform is unavailable
    And VM "a9" joins the config fleet
    And 4000 ms pass in the config fleet
    Then VM "a9" holds the same objects as VM "b1"

  Scenario: compaction of the log during a watch and for a VM far behind
    # A snapshot is written every 10 tickets and older tickets are deleted. A VM that was isolated
    # meanwhile finds a gap after its own position and loads the snapshot. Watches continue.
    When VM "a1" is isolated from all
    And 35 tickets are submitted through VM "b1"
    And the platform of the config fleet compacts its history
    Then the platform log holds at most 20 tickets
    When VM "a1" is connected again
    And 5000 ms pass in the config fleet
    Then every VM holds the same objects at position 35
    And the config positions on every VM never decreased

  Scenario: a repeated ticket gets the same response after it was compacted away
    When 35 tickets are submitted through VM "b1"
    And VM "c1" joins the config fleet
    And VM "c1" submits the 2nd of those tickets again
    Then the ticket is accepted at position 2
    And VM "b1" lists 5 tickets after 28 and none twice

  Scenario: the read-back detects a watch that stopped delivering
    When the open watches of all VMs stop delivering
    And VM "b1" submits ticket 1 with account "shop" at rate 10
    And 9000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM

  Scenario: a late ticket with a lower number does not restore a deleted object
    # Ticket 2 is delayed while ticket 3 deletes the account. When it arrives it is refused,
    # through every VM and also after compaction.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And VM "a1" submits ticket 3 that deletes account "shop"
    And 35 tickets are submitted through VM "b1"
    And VM "a1" submits ticket 2 with account "shop" at rate 20
    Then the ticket results in "ticket_stale" mentioning "accounts 'shop': set by ticket 3"

  Scenario: a forwarded request waits for the log position of its sender
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    Then VM "b1" waits for position 1 within 1000 ms
    And VM "b1" is behind position 2 after 1000 ms

  Scenario: tickets stay in force after the platform has lost them
    # The platform was restored from an old backup: its log ends before the position in force. No
    # VM goes back; new tickets are refused until operators have replaced the VMs.
    When VM "a1" submits ticket 1 with account "shop" at rate 10
    And 3000 ms pass in the config fleet
    And the platform loses all data
    And 3000 ms pass in the config fleet
    Then account "shop" has rate 10 on every VM
