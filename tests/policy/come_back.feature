Feature: when a caller that nothing can serve now should come back

  Scenario Outline: what has been away is away for about as long again
    Then a caller with <left> ms left is told <told> ms when nothing could serve it for <away> ms

    Examples:
      | left  | away | told |
      | 15000 | 0    | 300  |
      | 15000 | 200  | 300  |
      | 15000 | 1200 | 1200 |
      | 15000 | 9000 | 5000 |
      | 5000  | 9000 | 1666 |
      | 600   | 9000 | 300  |

  Scenario Outline: entries that lapsed with the store are waited for
    # The store is back, servers register again within 2 s. A caller that comes back before is
    # refused a second time, and has no third try.
    Then a caller with 15000 ms left is told <told> ms while servers settle for <settling> ms, away for <away> ms

    Examples:
      | settling | away | told |
      | 2200     | 0    | 2200 |
      | 1000     | 1200 | 2200 |
      | 0        | 1200 | 1200 |

  Scenario: callers refused in an outage don't all come back at once
    # Ten callers a second are refused for 4 s. Told 300 ms each, a tenth of them were back in
    # every tenth of a second, all of them within the outage.
    When 10 callers a second with 15000 ms left are refused for 4 s
    Then at least 20 of them come back after the outage of 4 s
    And no more than 6 come back in any 300 ms
