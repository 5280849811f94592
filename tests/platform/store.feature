Feature: the client of the platform's store under its failures

  Scenario Outline: a store that turns this VM away is out, and nothing was written
    Given a served key-value store and its client
    When the key-value store answers every call with <status>
    Then a key-value write ends with "platform_out" and nothing was written

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario: a store that turns VMs away is asked few times more
    # A VM that is turned away tries to read for as long as that lasts. Each try repeated twice, a
    # fleet's useless calls would cost more than all that it asks the store on a quiet day.
    Given a served key-value store and its client
    When the key-value store answers every call with 503
    And the key-value client tries to read 10 times
    Then the key-value store got at most 14 calls

  Scenario: after silence the next call opens a new connection
    # Something on the way forgot the open connection. A client that kept to its pool would wait
    # out its limit on every call.
    Given a served key-value store and its client
    When the key-value client has read once and the store then falls silent
    Then a key-value read fails
    When the key-value store answers again
    Then a key-value read works at once on a new connection

  Scenario: pages are put together
    Given a served key-value store and its client
    And the key-value store gives 3 items a page
    When 8 keys are written to the key-value store
    Then the key-value client finds all 8 under their prefix, in order

  Scenario: a quiet watch says how far it has come
    Given a served key-value store and its client
    When a key outside the watched prefix is written
    Then a quiet watch of the key-value store reaches that revision

  Scenario: a backlog of changes costs one rest of the watch
    # Twelve changes were made while the watch was cut. Resting after each of them, it would be
    # seconds before the last is known, and a withdrawn key would go on working.
    Given a served key-value store and its client
    And the client's watch rests 400 ms after a call that brought changes
    When 12 changes of one key were made
    Then a watch from before them brings all 12 within 400 ms

  Scenario: a watch that waits is ended by the first call that works after one that failed
    # The watch was asked before the store fell silent. What changed meanwhile would be known
    # when the watch has waited its time out, seconds after the store's return.
    Given a served key-value store and its client
    And a watch of the key-value store waits
    When the key-value client has read once and the store then falls silent
    Then a key-value read fails
    When the key-value store answers again
    Then a key-value read works at once on a new connection
    And the watch that waited ended with "platform_out"

  Scenario: a watch goes on while calls work
    Given a served key-value store and its client
    And a watch of the key-value store waits
    When the key-value client has read 3 times
    Then the watch still waits
