Feature: dispatch queues, retries, and sends to other regions

  Scenario Outline: a failed attempt goes to another engine when that is safe
    # The first engine chosen fails before anything reached the caller. A call that may be
    # repeated, or that is known not to have run, goes to the other engine; one that may have
    # run and may not run twice does not.
    Given a dispatch gateway with engines "e1 e2"
    And every dispatch engine but the second one called will "<plan>"
    When a dispatch caller asks, "<repeat>" to be repeated
    And 50 ms pass at dispatch
    Then the dispatch caller gets "<outcome>"
    And <calls> dispatch engine calls were made
    And <spent> tokens were spent at dispatch

    Examples:
      | plan   | repeat        | outcome        | calls | spent |
      | fail   | may be        | whole          | 2     | 15    |
      | fail   | may not be    | backend_failed | 1     | 0     |
      | refuse | may be        | whole          | 2     | 15    |
      | refuse | may not be    | whole          | 2     | 15    |

  Scenario: an answer that began is not started again elsewhere
    # The caller has the first tokens when the engine breaks off. A second attempt would give
    # them twice; the caller gets an error and never a clean end.
    Given a dispatch gateway with engines "e1 e2"
    And every dispatch engine but the second one called will "cut"
    When a dispatch caller asks, "may be" to be repeated
    And 50 ms pass at dispatch
    Then the dispatch caller gets "stream_broken"
    And 1 dispatch engine calls were made

  Scenario: all engines fail and the retries stay within their budget
    # Every engine fails every call. Each caller would be tried three times; the budget of a
    # quiet VM is 10 retries and a tenth of the calls, so 16 calls make at most 27 attempts.
    # A caller sees the failure, or a refusal as not run while all engines rest.
    Given a dispatch gateway with engines "e1 e2 e3"
    And every dispatch engine will "fail"
    When 16 dispatch callers ask one after the other
    And 6000 ms pass at dispatch
    Then every dispatch caller gets one of "backend_failed overloaded deadline"
    And at most 27 dispatch engine calls were made

  Scenario: a full engine makes callers wait and the next free slot goes to one of them
    # One engine with one slot. The second caller waits in the queue and not at the engine;
    # when the first caller leaves, the slot is its own.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And a second dispatch caller of account "bound" asks
    Then 1 dispatch engine calls were made
    When the first dispatch caller vanishes
    Then 2 dispatch engine calls were made

  Scenario: an engine is told the deadline that is left after the queue
    # The second caller waits two of its five seconds for the only slot. An engine that was
    # told the deadline on arrival would plan with time that is already spent.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And a second dispatch caller of account "bound" asks
    And 2000 ms pass at dispatch
    And the first dispatch caller vanishes
    Then 2 dispatch engine calls were made
    And the second dispatch engine call has 2000 ms less to live than the first

  Scenario: a caller that waits too long is told at once when to come back
    # One slot is held for good. A caller whose deadline is near gets its refusal when the
    # deadline can no longer be met, as not run, with a time to come back, and pays nothing.
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And a second dispatch caller of account "bound" asks
    And 5200 ms pass at dispatch
    Then the second dispatch caller gets "deadline"
    And the second dispatch caller was told when to come back
    And the second dispatch refusal says ran "no"

  Scenario: a caller that vanishes while it waits frees its place and its tokens
    Given a dispatch gateway with one engine of 1 slots
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And a second dispatch caller of account "bound" asks
    And the second dispatch caller vanishes
    Then nothing waits at dispatch
    When the first dispatch caller vanishes
    Then 1 dispatch engine calls were made
    And 13 tokens were spent at dispatch

  Scenario Outline: a region without engines sends its callers to one that has some
    # No engine here serves the model. The other region reported room, so the call is
    # forwarded once, if its account's residency allows and it was not forwarded already.
    Given a dispatch gateway with engines "none"
    And dispatch hears of free engines in "thies-nord"
    When a dispatch caller of account "<account>" with <hops> hops asks
    Then the dispatch caller gets "<outcome>"
    And <forwards> dispatch calls were forwarded

    Examples:
      | account | hops | outcome    | forwards |
      | family  | 0    | whole      | 1        |
      | family  | 1    | no_backend | 0        |
      | bound   | 0    | no_backend | 0        |

  Scenario: a forwarded call that the other region refuses is not forwarded again
    # The other region filled up meanwhile and refuses as not run. This region has no engine
    # either; the caller gets a final refusal, and the call never travels twice.
    Given a dispatch gateway with engines "none"
    And dispatch hears of free engines in "thies-nord"
    And the dispatch peer will refuse as "overloaded"
    When a dispatch caller of account "family" with 0 hops asks
    Then the dispatch caller gets "no_backend"
    And 1 dispatch calls were forwarded
    And 0 tokens were spent at dispatch

  Scenario Outline: a leaving engine gets no new work
    # One engine leaves, by its own report or by ticket, and would otherwise be the idle one
    # that attracts every call. Its callers' streams would be cut off when it stops.
    Given a dispatch gateway with engines "e1 e2"
    And dispatch engine "e1" leaves by "<way>"
    When 8 dispatch callers ask one after the other
    Then every dispatch caller gets "whole"
    And dispatch engine "e1" was never called

    Examples:
      | way    |
      | ticket |
      | report |

  Scenario: a VM that shuts down refuses new calls and lets the running one end
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "hang"
    When a dispatch caller of account "family" asks
    And the dispatch service drains
    And a second dispatch caller of account "bound" asks
    Then the second dispatch caller gets "draining"
    And the dispatch caller gets "running"

  Scenario: a body that would not fit in memory is refused and others still get in
    # One account sends a body as large as the memory allowed. It is refused as not run, and
    # the next ordinary call of another account is served.
    Given a dispatch gateway with engines "e1"
    When a dispatch caller with a body of 300000000 bytes asks
    Then the dispatch caller gets "vm_full"
    And 0 tokens were spent at dispatch
    When a dispatch caller of account "family" asks
    Then the dispatch caller gets "whole"

  Scenario: the operator sees why an account was refused or sent elsewhere
    Given a dispatch gateway with engines "none"
    And dispatch hears of free engines in "thies-nord"
    When a dispatch caller of account "family" with 0 hops asks
    And a dispatch caller of account "bound" with 0 hops asks
    Then dispatch tells that account "family" was "spilled" for "no_local_backend"
    And dispatch tells that account "bound" was "no_backend" for "no_backend"

  Scenario: a call stuck at a slow engine is taken back and answered by another one
    # One engine of three stops giving first tokens. Calls sent to it before it is found out
    # would wait for the whole silence; they are cancelled there and run elsewhere, and their
    # callers see one whole answer each.
    Given a dispatch gateway with engines "e1 e2 e3"
    And dispatch engine "e1" will "mute"
    When 12 dispatch callers ask one after the other
    And 2000 ms pass at dispatch
    Then every dispatch caller gets "whole"

  Scenario: a caller that stops reading between parts has its call cancelled
    # The caller takes the first part and closes the answer, as a front does when the
    # connection goes while nothing is awaited from the engine.
    Given a dispatch gateway with engines "e1"
    And dispatch engine "e1" will "hang"
    When a dispatch caller reads one part and closes the answer
    Then dispatch engine "e1" was told to cancel

  Scenario: the load policy's task crashes with a call in hand
    # The task dies on one call's message and is started again. That call's caller is refused
    # as not run instead of waiting for ever, and the next caller is served.
    Given a dispatch gateway with engines "e1"
    When the dispatch load task crashes on a call with 100 ms to live
    Then the dispatch caller gets "deadline"
    And its dispatch refusal says ran "no"
    And 0 tokens were spent at dispatch
    When 1000 ms pass at dispatch
    And a dispatch caller of account "family" asks
    Then the dispatch caller gets "whole"
