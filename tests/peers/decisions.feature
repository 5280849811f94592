Feature: Membership logic, without a network

  Scenario: Merging views does not depend on the order of records
    Then merging member records is commutative, associative and idempotent

  Scenario: Heartbeats lost, delayed, repeated and overtaken
    # VMs crash, restart, leave, are wrongly marked as silent and refute it, while heartbeats are
    # lost before or after they take effect, or arrive late. No view may go back to an earlier
    # incarnation of a VM or revive one that left. Once heartbeats get through, all views must be
    # equal and hold exactly the running VMs.
    Then views under lost, late and repeated heartbeats never go back and end up equal

  Scenario Outline: Heartbeat partners are few and reach every VM
    Given a ring of <size> VMs
    Then each VM of the ring has at most <most> partners
    And updates cross the ring in at most <hops> hops

    Examples:
      | size | most | hops |
      | 1    | 0    | 0    |
      | 2    | 1    | 1    |
      | 9    | 4    | 4    |
      | 43   | 6    | 6    |
      | 390  | 9    | 9    |

  Scenario: The loss of a VM changes few partners
    Given a ring of 43 VMs
    When one VM is removed from the ring
    Then at most 14 of 43 VMs have a new first or second partner

  Scenario: Delegates to different data centres are different VMs
    Given a ring of 43 VMs
    Then delegates towards 8 data centres are at least 5 different VMs

  Scenario: The deputy of a lost delegate takes over, and no other delegate changes
    Given a ring of 43 VMs
    Then losing a delegate promotes its deputy and changes no other delegate

  Scenario Outline: A VM is marked as silent only if a witness fails to reach it as well
    Then witness replies "<replies>" about a suspect give the verdict "<verdict>"

    Examples:
      | replies     | verdict           |
      | no,no,no    | silent            |
      | no,none     | silent            |
      | no,yes,none | reached_by_others |
      | yes         | reached_by_others |
      | none,none   | unconfirmed       |
      |             | unconfirmed       |

  Scenario Outline: When witnesses are asked about a peer that does not reply
    Then a peer last seen <age> ms ago and <how> has witnesses asked <asked>

    Examples:
      | age  | how           | asked |
      | 100  | not replying  | no    |
      | 1999 | not replying  | no    |
      | 2000 | not replying  | yes   |
      | 10   | refusing      | yes   |

  Scenario Outline: Which entry VMs a caller is sent
    # A caller must not be sent VMs in regions where its data may not be processed, nor VMs that
    # are leaving or joining.
    Given entry VMs in dakar-1, dakar-2 and thies-1, one of each leaving and one joining
    Then a caller in "dakar-1" allowed "<allowed>" is sent VMs of "<order>"

    Examples:
      | allowed     | order                   |
      | dakar,thies | dakar-1,dakar-2,thies-1 |
      | dakar       | dakar-1,dakar-2         |
      | thies       | thies-1                 |
      | dar         |                         |
      | unknown     |                         |

  Scenario: The callers of a dead VM are spread over the others
    # Four hundred callers have lists of VMs, and the first VM of some of these lists dies. Its
    # callers must not all move to the same VM.
    Given entry VMs of one data centre of 9
    When the VM at the head of some callers' lists dies
    Then its callers spread over the other 8 VMs, none with more than twice its part
    And no other caller's first VM changes

  Scenario: A forecast is sent again only when it changed or is old
    Given a VM that reports its region's wait as 100 ms
    Then after these reports its delegate sends
      | at_ms | wait_ms | sent |
      | 100   | 150     | no   |
      | 2000  | 110     | no   |
      | 2100  | 115     | no   |
      | 2200  | 150     | yes  |
      | 2300  | 300     | no   |
      | 4300  | 155     | no   |
      | 4400  | 300     | yes  |
      | 9300  | 300     | no   |
      | 9400  | 300     | yes  |

  Scenario Outline: A new incarnation sorts after any known one, whatever the clocks show
    Then an incarnation made after <seen> sorts after it

    Examples:
      | seen                  |
      | 000000000001-00000000 |
      | 000000000005-ffffffff |
      | 00ffffffffff-ffffffff |

  Scenario: A heartbeat overtaken by a later one of the same VM
    # Two heartbeats of a VM, one a request and one a reply, travel on different connections. The
    # older one arrives last and must not replace the new log position with an old one.
    Given two VMs that have exchanged their views
    When one publishes a note, then a newer one, and the heartbeats arrive in reverse order
    Then the other received only the newer note

  Scenario Outline: Which of two records of a VM wins
    Then of the member records "<one>" and "<other>" the winner is "<winner>"

    Examples:
      | one        | other      | winner     |
      | 1/1/alive  | 1/1/silent | 1/1/silent |
      | 1/1/silent | 1/2/alive  | 1/2/alive  |
      | 1/2/alive  | 1/1/gone   | 1/1/gone   |
      | 1/9/gone   | 2/1/alive  | 2/1/alive  |
      | 2/1/silent | 1/9/alive  | 2/1/silent |
