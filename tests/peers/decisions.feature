Feature: Decisions of membership, with no network

  Scenario: Merging views does not depend on the order of news
    Then merging member records is commutative, associative and idempotent

  Scenario: News lost, delayed, repeated and overtaken
    # VMs crash, restart, leave, are accused wrongly and refute it, while heartbeats are lost
    # before or after they take effect, or arrive long after. No view ever goes back to an
    # earlier life of a VM or revives one that left; and once heartbeats get through, all
    # views are equal and hold exactly the VMs that run.
    Then views under lost, late and repeated heartbeats never go back and end up equal

  Scenario Outline: Heartbeat partners are few and reach everyone
    Given a ring of <size> VMs
    Then each VM of the ring has at most <most> partners
    And news crosses the ring in at most <hops> steps

    Examples:
      | size | most | hops |
      | 1    | 0    | 0    |
      | 2    | 1    | 1    |
      | 9    | 4    | 4    |
      | 43   | 6    | 6    |
      | 390  | 9    | 9    |

  Scenario: The loss of a VM changes few partners
    Given a ring of 43 VMs
    When one VM of the ring is lost
    Then at most 14 of 43 VMs have a new successor or first finger

  Scenario: Duties between data centres fall on different VMs
    Given a ring of 43 VMs
    Then delegates towards 8 data centres are at least 5 different VMs

  Scenario: The second in line follows when a delegate is lost, and nobody else moves
    Given a ring of 43 VMs
    Then losing a delegate promotes its deputy and leaves the other delegates

  Scenario Outline: A VM that does not answer is accused only on others' word
    Then a suspect reached as "<answers>" by those asked is judged "<verdict>"

    Examples:
      | answers     | verdict           |
      | no,no,no    | silent            |
      | no,none     | silent            |
      | no,yes,none | reached_by_others |
      | yes         | reached_by_others |
      | none,none   | unconfirmed       |
      |             | unconfirmed       |

  Scenario Outline: When others are asked about a peer that does not answer
    Then a peer last heard <age> ms ago and <how> has others asked <asked>

    Examples:
      | age  | how           | asked |
      | 100  | not answering | no    |
      | 1999 | not answering | no    |
      | 2000 | not answering | yes   |
      | 10   | refusing      | yes   |

  Scenario Outline: What a caller is told of entry VMs
    # A caller must not be sent where its data may not be processed, nor to a VM that is
    # about to go or not yet there.
    Given entry VMs in dakar-1, dakar-2 and thies-1, one of each leaving and one joining
    Then a caller in "dakar-1" allowed "<allowed>" is told VMs of "<order>"

    Examples:
      | allowed     | order                   |
      | dakar,thies | dakar-1,dakar-2,thies-1 |
      | dakar       | dakar-1,dakar-2         |
      | thies       | thies-1                 |
      | dar         |                         |
      | unknown     |                         |

  Scenario: The callers of a dead VM do not all arrive at one other
    # Four hundred callers hold lists; the VM at the head of some of them dies.
    Given entry VMs of one data centre of 9
    When the VM at the head of some callers' lists dies
    Then its callers spread over the other 8 VMs, none with more than twice its part
    And no other caller's first VM changes

  Scenario: A forecast is told again only when it moved or is old
    Given a VM that reports its region's wait as 100 ms
    Then after these reports its delegate tells of
      | at_ms | wait_ms | told |
      | 100   | 150     | no   |
      | 2000  | 110     | no   |
      | 2100  | 115     | no   |
      | 2200  | 150     | yes  |
      | 2300  | 300     | no   |
      | 4300  | 155     | no   |
      | 4400  | 300     | yes  |
      | 9300  | 300     | no   |
      | 9400  | 300     | yes  |

  Scenario Outline: A new life sorts after any that was seen, whatever the clocks say
    Then an incarnation made after <seen> sorts after it

    Examples:
      | seen                  |
      | 000000000001-00000000 |
      | 000000000005-ffffffff |
      | 00ffffffffff-ffffffff |

  Scenario: A heartbeat overtaken by a later one of the same VM
    # Request and reply of two heartbeats travel on different connections. The older one
    # arrives last and must not put an old log position in place of the new.
    Given two VMs whose exchanges have met
    When one publishes a note, then a newer one, and the heartbeats arrive the other way round
    Then the other heard only the newer note

  Scenario Outline: Which of two records of a VM wins
    Then of the member records "<one>" and "<other>" the winner is "<winner>"

    Examples:
      | one        | other      | winner     |
      | 1/1/alive  | 1/1/silent | 1/1/silent |
      | 1/1/silent | 1/2/alive  | 1/2/alive  |
      | 1/2/alive  | 1/1/gone   | 1/1/gone   |
      | 1/9/gone   | 2/1/alive  | 2/1/alive  |
      | 2/1/silent | 1/9/alive  | 2/1/silent |
