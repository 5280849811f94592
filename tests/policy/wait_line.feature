Feature: who waits for a place, how long, and who is refused at once

  Scenario: the more urgent go first, and among equals the first to come
    Given a wait line where 20 places come free each second
    When requests of urgency "5, 1, 5, 0" wait
    Then they leave in the order "0, 1, 5 first, 5 second"

  Scenario: a burst waits only as long as it can still be served in time
    # 100 requests come at once, where 20 places come free each second. Those that would wait
    # beyond their patience are refused on arrival; the others are all served within it.
    Given a wait line where 20 places come free each second
    When 100 requests of patience 400 ms come at once
    Then 8 of them wait and the rest are refused at once
    And none of those that wait has waited over 400 ms when its place comes free

  Scenario: an urgent request is not refused because less urgent ones wait
    Given a wait line where 20 places come free each second
    When 100 requests of patience 400 ms come at once
    Then a request of urgency 0 with patience 100 ms may wait

  Scenario: when servers are lost the line follows within a second
    Given a wait line where 20 places come free each second
    When no place comes free for 1100 ms
    Then a request of urgency 5 with patience 200 ms is refused at once
    But a request of urgency 5 with patience 300 ms may wait

  Scenario Outline: patience is what the objective leaves, and a little for who is late already
    Then a request with objective <target> ms, asked <elapsed> ms ago, waits up to <patience> ms

    Examples:
      | target | elapsed | patience |
      | 600    | 0       | 300      |
      | 600    | 200     | 100      |
      | 600    | 300     | 1500     |
      | 600    | 5000    | 1500     |

  Scenario: refused callers are told to come back one after the other
    # A burst is refused. Told the same time, all would return at once and be refused again.
    Given a wait line where 20 places come free each second
    When 30 callers are refused at once, who can be told 2000 ms at most
    Then the first comes back within 200 ms and no two within 50 ms, up to 2000 ms
