Feature: dispatch queues, retries, and forwards to other regions

  Scenario Outline: a failed attempt is retried at another engine if that is safe
    # The first engine fails before anything reached the caller. A call that is idempotent, or
    # known not to have run, is retried at the other engine; one that may have run and may not run
    # twice is not.
    Given a dispatch gateway with engines "e1 e2"
    And every dispatch engine but the second one called has plan "<plan>"
    When a dispatch caller sends a call, idempotent: "<idempotent>"
    And 50 ms pass at dispatch
    Then the dispatch caller gets "<outcome>"
    And <calls> dispatch engine calls were made
    And <spent> tokens were spent at dispatch

    Examples:
      | plan   | idempotent | outcome        | calls | spent |
      | fail   | yes        | complete       | 2     | 15    |
      | fail   | no         | backend_failed | 1     | 0     |
      | refuse | yes        | complete       | 2     | 15    |
      | refuse | no         | complete       | 2     | 15    |

  Scenario: a response that has started is not retried elsewhere
    # The caller has the first tokens when the stream breaks off. A second attempt would send them
    # twice; the caller gets an error and never a clean end.
    Given a dispatch gateway with engines "e1 e2"
    And every dispatch engine but the second one called has plan "cut"
    When a dispatch caller sends a call, idempotent: "yes"
    And 50 ms pass at dispatch
    Then the dispatch caller gets "stream_broken"
    And 1 dispatch engine calls were made

  Scenario: retries stay within their budget when all engines fail
    # Every engine fails every call. Each call could have three attempts; the retry budget of a VM
    # without earlier traffic is 10 retries and a tenth of the calls, so 16 calls make at most 27
    # attempts. A caller gets the failure, or a refusal as not run while all engines are ejected.
    Given a dispatch gateway with engines "e1 e2 e3"
    And every dispatch engine has plan "fail"
    When 16 dispatch callers send a call one after the other
    And 6000 ms pass at dispatch
    Then every dispatch caller gets one of "backend_failed overloaded deadline"
    And at most 27 dispatch engine calls were made

  Scenario: an engine that refuses a call and asks for rest gets no call in that time
    # The engine rejects at once and so always looks idle; a back-off starts at 100 ms.
    Given a dispatch gateway with engines "e1"
    And every dispatch engine has plan "rest"
    When 16 dispatch callers send a call one after the other
    And 2000 ms pass at dispatch
    Then 1 dispatch engine calls were made

  Scenario: callers are queued while the engine is full and get the next free slot
    # One engine has one slot. The second call waits in the queue and not at the engine; when the
    # first caller disconnects, the second call gets the slot.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And a second dispatch caller of account "bound" sends a call
    Then 1 dispatch engine calls were made
    When the first dispatch caller disconnects
    Then 2 dispatch engine calls were made

  Scenario: an engine gets the deadline that remains after the queue
    # The second call waits two of its five seconds for the only slot. With the deadline on
    # arrival, the engine would schedule by time that has already passed.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And a second dispatch caller of account "bound" sends a call
    And 2000 ms pass at dispatch
    And the first dispatch caller disconnects
    Then 2 dispatch engine calls were made
    And the second dispatch engine call has a deadline 2000 ms shorter than the first

  Scenario: a caller that waits too long is refused with a retry-after time
    # The only slot stays occupied. A queued call is refused as soon as its deadline can no longer
    # be met, as not run, with a retry-after time, and is not charged.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And a second dispatch caller of account "bound" sends a call
    And 5200 ms pass at dispatch
    Then the second dispatch caller gets "deadline"
    And the second dispatch caller gets a retry-after time
    And the second dispatch refusal says ran "no"

  Scenario: a caller that disconnects while queued frees its queue entry and tokens
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And a second dispatch caller of account "bound" sends a call
    And the second dispatch caller disconnects
    Then no call is queued at dispatch
    When the first dispatch caller disconnects
    Then 1 dispatch engine calls were made
    And 13 tokens were spent at dispatch

  Scenario Outline: a region without engines forwards calls to a region that has some
    # No engine of this region serves the model. The other region reported free capacity, so the
    # call is forwarded, if its account's residency allows it and it was not forwarded before.
    Given a dispatch gateway with engines "none"
    And dispatch receives a forecast of free engines in "thies-nord"
    When a dispatch caller of account "<account>" with <hops> hops sends a call
    Then the dispatch caller gets "<outcome>"
    And <forwards> dispatch calls were forwarded

    Examples:
      | account | hops | outcome    | forwards |
      | family  | 0    | complete   | 1        |
      | family  | 1    | no_backend | 0        |
      | bound   | 0    | no_backend | 0        |

  Scenario: a forwarded call that the other region refuses is not forwarded again
    # The other region is full by now and refuses as not run. This region has no engine either;
    # the caller gets a final refusal, and the call is not forwarded twice.
    Given a dispatch gateway with engines "none"
    And dispatch receives a forecast of free engines in "thies-nord"
    And the dispatch peer will refuse as "overloaded"
    When a dispatch caller of account "family" with 0 hops sends a call
    Then the dispatch caller gets "no_backend"
    And 1 dispatch calls were forwarded
    And 0 tokens were spent at dispatch

  Scenario Outline: a leaving engine gets no new work
    # One engine leaves, by its own report or by ticket. Being idle it would otherwise attract all
    # calls, whose streams would be cut off when it stops.
    Given a dispatch gateway with engines "e1 e2"
    And dispatch engine "e1" leaves by "<way>"
    When 8 dispatch callers send a call one after the other
    Then every dispatch caller gets "complete"
    And dispatch engine "e1" was never called

    Examples:
      | way    |
      | ticket |
      | report |

  Scenario: a VM that shuts down refuses new calls and lets the running one end
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller of account "family" sends a call
    And the dispatch service drains
    And a second dispatch caller of account "bound" sends a call
    Then the second dispatch caller gets "draining"
    And the dispatch caller gets "running"

  Scenario: a body that does not fit in memory is refused and other calls are accepted
    # One account sends a body as large as the memory allowed for bodies. It is refused as not run,
    # and the next ordinary call is served.
    Given a dispatch gateway with engines "e1"
    When a dispatch caller sends a call with a body of 300000000 bytes
    Then the dispatch caller gets "vm_full"
    And 0 tokens were spent at dispatch
    When a dispatch caller of account "family" sends a call
    Then the dispatch caller gets "complete"

  Scenario: the operator sees why an account's call was refused or spilled
    Given a dispatch gateway with engines "none"
    And dispatch receives a forecast of free engines in "thies-nord"
    When a dispatch caller of account "family" with 0 hops sends a call
    And a dispatch caller of account "bound" with 0 hops sends a call
    Then the dispatch status shows that account "family" was "spilled" for "no_local_backend"
    And the dispatch status shows that account "bound" was "no_backend" for "no_backend"

  Scenario: a call stuck at a slow engine is cancelled there and served by another one
    # One engine of three stops sending first tokens. Calls sent to it before this is detected
    # would wait until their timeout; they are cancelled there and run elsewhere, and each caller
    # gets one complete response.
    Given a dispatch gateway with engines "e1 e2 e3"
    And dispatch engine "e1" has plan "silent"
    When 12 dispatch callers send a call one after the other
    And 2000 ms pass at dispatch
    Then every dispatch caller gets "complete"

  Scenario: a caller that stops reading between parts has its call cancelled
    # The caller reads the first part and closes the response, as the front does when the
    # connection closes while nothing is awaited from the engine.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" has plan "hang"
    When a dispatch caller reads one part and closes the response
    Then dispatch engine "e1" got a cancel

  Scenario: the scheduler task crashes while handling a call
    # The task crashes on one call's message and is started again. That call is refused as not run
    # instead of waiting for ever, and the next one is served.
    Given a dispatch gateway with engines "e1"
    When the dispatch scheduler task crashes on a call with a deadline of 100 ms
    Then the dispatch caller gets "deadline"
    And its dispatch refusal says ran "no"
    And 0 tokens were spent at dispatch
    When 1000 ms pass at dispatch
    And a dispatch caller of account "family" sends a call
    Then the dispatch caller gets "complete"
