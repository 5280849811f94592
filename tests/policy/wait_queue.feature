Feature: which requests wait for a slot, how long, and which are refused at once

  Scenario: the more urgent go first, and among equals the first to come
    Given a wait queue where 20 slots come free each second
    When requests of urgency "5, 1, 5, 0" wait
    Then they leave in the order "0, 1, 5 first, 5 second"

  Scenario: a burst waits only as long as it can still be served in time
    # 100 requests come at once, where 20 slots come free each second. Those that would wait
    # beyond their maximum wait are refused on arrival; the others are all served within it.
    Given a wait queue where 20 slots come free each second
    When 100 requests with a maximum wait of 400 ms come at once
    Then 8 of them wait and the rest are refused at once
    And none of those that wait has waited over 400 ms when its slot comes free

  Scenario: an urgent request is not refused because less urgent ones wait
    Given a wait queue where 20 slots come free each second
    When 100 requests with a maximum wait of 400 ms come at once
    Then a request of urgency 0 with a maximum wait of 100 ms may wait

  Scenario: the expected wait follows a loss of servers within a second
    Given a wait queue where 20 slots come free each second
    When no slot comes free for 1100 ms
    Then a request of urgency 5 with a maximum wait of 200 ms is refused at once
    But a request of urgency 5 with a maximum wait of 300 ms may wait

  # The last two guard against a request that has missed its objective waiting until its deadline
  # and getting its refusal when its caller can't come back any more.
  Scenario Outline: the maximum wait is what the objective leaves, or a fixed time if it is missed
    Then a request with objective <target> ms, <elapsed> ms old, and <left> ms left waits up to <max_wait> ms

    Examples:
      | target | elapsed | left | max_wait |
      | 600    | 0       | 9000 | 300      |
      | 600    | 200     | 9000 | 100      |
      | 600    | 300     | 9000 | 1500     |
      | 600    | 5000    | 9000 | 1500     |
      | 600    | 8000    | 1400 | 700      |
      | 600    | 9300    | 100  | 50       |

  Scenario: refused callers get retry-after times one after the other
    # A burst is refused. With the same time, all would return at once and be refused again.
    Given a wait queue where 20 slots come free each second
    When 30 callers are refused at once, with a retry-after of 2000 ms at most
    Then the first retries within 200 ms and no two within 50 ms, up to 2000 ms
