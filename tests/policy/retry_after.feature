Feature: the retry-after of a caller whom no server can serve now

  Scenario Outline: an outage is expected to last as long again
    Then a caller with <left> ms left gets retry-after <expected> ms when nothing could serve it for <outage> ms

    Examples:
      | left  | outage | expected |
      | 15000 | 0      | 300  |
      | 15000 | 200    | 300  |
      | 15000 | 1200   | 1200 |
      | 15000 | 9000   | 5000 |
      | 5000  | 9000   | 1666 |
      | 600   | 9000   | 300  |

  Scenario Outline: retry-after covers the time in which servers register again
    # The store is back, and servers whose entries expired register again within 2 s. A caller
    # that retries before that is refused a second time, and has no third attempt.
    Then a caller with 15000 ms left gets retry-after <expected> ms while servers recover for <recovery> ms, after an outage of <outage> ms

    Examples:
      | recovery | outage | expected |
      | 2200     | 0      | 2200 |
      | 1000     | 1200   | 2200 |
      | 0        | 1200   | 1200 |

  Scenario: callers refused in an outage don't all retry at once
    # Ten callers a second are refused for 4 s. With a retry-after of 300 ms for all, a tenth of
    # them would retry in every tenth of a second, all of them within the outage.
    When 10 callers a second with 15000 ms left are refused for 4 s
    Then at least 20 of them retry after the outage of 4 s
    And no more than 6 retry in any 300 ms
