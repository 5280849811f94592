Feature: a prompt is held against a short list of a region's servers

  Scenario Outline: the list doesn't grow with the region, except where the region is small
    Given <servers> servers of 8 slots, some busier than others
    Then a prompt is held against at most <most> of them

    Examples:
      | servers | most |
      | 3       | 3    |
      | 12      | 12   |
      | 30      | 12   |
      | 200     | 12   |

  # The load: prompts come so quickly that only one server in ten has a free slot at any moment.
  Scenario Outline: prompts find the free slots of a large region that is nearly full
    Given <servers> servers of 8 slots, some busier than others
    When 2000 prompts are placed there, each as soon as an earlier one ends
    Then no prompt found all listed servers full while another had room
    And the waits at the chosen servers are at most 1.1 times those of the best ones on average

    Examples:
      | servers |
      | 30      |
      | 200     |

  # Guards against a queue that waits beside an idle slot until the servers are ranked again.
  Scenario: a server whose request has just ended is listed at once
    Given 30 servers of 8 slots, all of them full
    When a request ends at one server
    Then that server is among those that the next prompt is held against

  Scenario: a server that is gone is not listed any more
    Given 30 servers of 8 slots, some busier than others
    When the least busy server leaves
    Then it is not among those that the next prompt is held against

  # Guards against new requests to a server in an evacuated data centre when its last ones end there.
  Scenario: a server that is gone is not listed when its last request ends
    Given 30 servers of 8 slots, some busier than others
    When the least busy server leaves
    And a prompt is placed, and then the last request of the server that left ends
    Then it is not among those that the next prompt is held against

  # Guards against a full region that tells callers it has no server, since those listed all rest.
  Scenario: a full region is looked at whole where no listed server may be used
    Given 30 servers of 8 slots, all of them full
    Then the others are looked at if none of the listed servers may be used
