Feature: one VM per data centre sends orders to engines, and none with an expired lease

  Background:
    Given control VMs "a1 a2" with engines "strict" that checks fencing and "lax" that does not

  Scenario: one VM holds the lease and brings engines to the configured state
    When 10000 ms pass for the control VMs
    Then exactly one control VM holds the lease
    And engines "strict lax" hold models "base:1 tune:1"
    And on engines "strict lax" adapter "tune" was loaded after "base"

  Scenario Outline: the configured state changes by ticket
    When 10000 ms pass for the control VMs
    And the configured state <change>
    And 10000 ms pass for the control VMs
    Then engines "lax" hold models "<models>"
    And the role of engine "lax" is "<role>"

    Examples:
      | change                    | models        | role    |
      | moves model "tune" to "2" | base:1 tune:2 |         |
      | removes model "tune"      | base:1        |         |
      | sets role "prefill"       | base:1 tune:1 | prefill |

  Scenario Outline: the holder loses its lease and another VM takes over, after a wait
    # The holder is paused past its lease, loses the platform, is drained, or its lease expires.
    # The other VM acquires the lease with a higher token, but sends nothing until the last order
    # of the old holder must have ended. No order of the old holder takes effect after that.
    When 10000 ms pass for the control VMs
    And the control holder <event>
    And the configured state moves model "tune" to "2"
    And 20000 ms pass for the control VMs
    Then the other control VM holds the lease
    And engines "strict lax" hold models "base:1 tune:2"
    When the old control holder recovers
    And the configured state moves model "tune" to "3"
    And 20000 ms pass for the control VMs
    Then engines "strict lax" hold models "base:1 tune:3"
    And no engine executed an order with an older token after a newer one

    Examples:
      | event                 |
      | is paused             |
      | loses the platform    |
      | is drained            |
      | has its lease expired |

  Scenario: the platform is unavailable to all
    # No VM can renew or acquire the lease, so orders stop when it ends. Serving does not depend on
    # it.
    When 10000 ms pass for the control VMs
    And the platform is unavailable for the control VMs
    And 10000 ms pass for the control VMs
    And the configured state moves model "tune" to "2"
    And 10000 ms pass for the control VMs
    Then engines "strict lax" hold models "base:1 tune:1"
    When the platform is available again for the control VMs
    And 20000 ms pass for the control VMs
    Then engines "strict lax" hold models "base:1 tune:2"

  Scenario: an order's response is lost
    # The order takes effect but its response is lost. It must not be retried blindly: the engine's
    # state, read back in the next round, shows that nothing is left to do.
    When the next response of engine "lax" is lost
    And 10000 ms pass for the control VMs
    Then engine "lax" received 2 orders
    And engines "lax" hold models "base:1 tune:1"

  Scenario: the response to acquiring the lease is lost
    When the next platform responses to the control VMs are lost
    And 15000 ms pass for the control VMs
    Then exactly one control VM holds the lease
    And engines "strict lax" hold models "base:1 tune:1"

  Scenario: an engine is restarted and has lost its models
    When 10000 ms pass for the control VMs
    And engine "lax" restarts empty
    And 10000 ms pass for the control VMs
    Then engines "lax" hold models "base:1 tune:1"

  Scenario: loads stay within the weight store's rate
    # Two engines need the same 20 MB model and the store sends 1 MB a second: the second load
    # starts when the first has had its 20 seconds.
    When 10000 ms pass for the control VMs
    And the configured state adds model "big" of 20000000 bytes
    And 15000 ms pass for the control VMs
    Then 1 engine holds model "big"
    When 25000 ms pass for the control VMs
    Then 2 engines hold model "big"

  Scenario: orders never go to a leaving engine or to another data centre
    When the configured state lets engine "lax" leave
    And 10000 ms pass for the control VMs
    Then engine "lax" received 0 orders
    And engine "far" received 0 orders

  Scenario: the HTTP order client against a running engine stand-in
    Given an engine stand-in that checks fencing
    When control sends load of "extra" version "7" with token 5 to the engine stand-in
    Then the engine stand-in's state read by control has "extra" at version "7" and token 5
    And control sending load of "extra" version "8" with token 4 fails with "fenced"
    And control sending with an expired lease fails with "lease_lost" and nothing arrives
    And control sending to a closed port fails with "backend_refused" as not run

  Scenario: an engine has seen a higher token than the platform knows
    # The platform was restored and its token starts again, so the engine refuses every order as
    # outdated. The holder releases the lease and acquires it again with a token above the one that
    # the engine reported.
    When engine "strict" has seen token 99
    And 40000 ms pass for the control VMs
    Then engines "strict lax" hold models "base:1 tune:1"

  Scenario: a new holder waits until the old one's last order must have ended
    # The old holder sends right before its deadline and the order takes its full time limit. The
    # lease expires and another VM acquires it at once; its first order must take effect after that.
    Given two control holders with a manual clock
    When the first control holder sends 4700 ms after acquiring the lease, and the order takes 1500 ms
    And the second control holder acquires the lease at 6100 ms and sends as soon as it may
    Then the order of the first took effect before that of the second

  Scenario: holders under random pauses, expired leases, lost responses and delays
    # Two holders act as the code decides. The oracle looks only at the order in which orders took
    # effect at two engines: their tokens must never decrease.
    Then the control machine finds no fault in 150 runs of 50 steps
