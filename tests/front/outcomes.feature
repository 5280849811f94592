Feature: refusals say whether the call ran and which other VMs to use

  Background:
    Given a front rig

  Scenario Outline: refusals by dispatch are passed on and not counted again
    Given dispatch behind the front refuses with "<kind>"
    When the front gets a chat call
    Then the front responds with status <status>, code "<kind>" and ran "<ran>"
    And the front did not count a refusal "<kind>"

    Examples:
      | kind                 | status | ran     |
      | rate_limited         | 429    | no      |
      | cost_over_burst      | 413    | no      |
      | overloaded           | 503    | no      |
      | deadline             | 504    | no      |
      | no_backend           | 503    | no      |
      | backend_refused      | 503    | no      |
      | backend_failed       | 502    | unknown |
      | backend_silent       | 504    | unknown |
      | backend_unknown      | 502    | unknown |
      | config_behind        | 503    | no      |
      | hop_limit            | 508    | no      |
      | peer_unreachable     | 503    | no      |
      | idempotency_running  | 409    | unknown |
      | idempotency_expired  | 410    | unknown |
      | idempotency_lost     | 410    | unknown |
      | idempotency_mismatch | 422    | no      |
      | platform_out         | 503    | no      |
      | platform_unknown     | 503    | unknown |

  Scenario: residency is checked on the headers, before the body is read
    # The account's data must not be processed in this region. The caller sends ``Expect`` and
    # waits before it sends the body; it is refused at once, with the VM that may serve it.
    Given the front's account may be served only in "there"
    When the front gets the head of a chat call without its body
    Then the raw response of the front has status 421 and code "residency"
    And the raw response of the front lists entry "http://127.0.0.1:8003"
    And the raw response of the front closes the connection
    And dispatch behind the front got 0 calls

  Scenario: a redirected call is not redirected again
    # Two VMs that disagree on a rule could redirect a caller between them for ever. The caller
    # marks a redirected request, and the second refusal lists no VM.
    Given the front's account may be served only in "there"
    When the front gets a chat call that was redirected
    Then the front responds with status 508, code "hop_limit" and ran "no"
    And the front's refusal lists entries ""

  Scenario: calls of an account with an unknown residency rule are refused
    Given the front's account has an unknown residency rule
    When the front gets a chat call
    Then the front responds with status 403, code "residency_unknown" and ran "no"

  Scenario: a revoked key is refused as not run
    Given the front's key is revoked
    When the front gets a chat call
    Then the front responds with status 401, code "key_withdrawn" and ran "no"

  Scenario: a VM without configuration lists other VMs
    Given the front has no configuration yet
    When the front gets a chat call
    Then the front responds with status 503, code "not_ready" and ran "no"
    And the front's refusal lists entries "http://127.0.0.1:8002 http://127.0.0.1:8003"

  Scenario: a VM refuses calls when its configuration is older than the settings allow
    Given the front's configuration is 99 seconds old and its limit is 10
    When the front gets a chat call
    Then the front responds with status 503, code "config_stale" and ran "no"

  Scenario: the response to an unexpected error does not quote it
    Given dispatch behind the front raises an error that quotes the prompt
    When the front gets a chat call
    Then the front responds with status 500, code "internal" and ran "unknown"
    And the front's response does not quote the prompt

  Scenario: entries are ordered by region and have a validity
    When the front gets "GET" "/v1/entries" with key "sk-family" and body ""
    Then the front lists entries of "here" before "there" with a validity

  Scenario: idempotency keys are issued and used
    When the front gets "POST" "/v1/idempotency-keys" with key "sk-family" and body "{"count":3}"
    Then the front issued 3 idempotency keys
    When the front gets a booking with idempotency key "family-0"
    Then the idempotency service behind the front got key "family-0"

  Scenario Outline: operators read and change the VM's state
    When the front gets "<method>" "<path>" with key "sk-operator" and body "<body>"
    Then the front responds with status <status> and field "<field>"

    Examples:
      | method | path        | body         | status | field    |
      | POST   | /v1/tickets | {"number":7} | 200    | position |
      | GET    | /v1/tickets |              | 200    | tickets  |
      | GET    | /v1/state   |              | 200    | objects  |
      | GET    | /v1/status  |              | 200    | services |
      | GET    | /healthz    |              | 200    | status   |

  Scenario: operators get metrics
    When the front gets "GET" "/metrics" with key "sk-operator" and body ""
    Then the front responds with metrics

  Scenario: draining refuses new calls and finishes running ones
    # A stream runs when the operator drains the VM. New calls are refused as not run, with a
    # list of other VMs; the stream runs to its end; then the VM stops.
    When an openai client at the front streams while the operator drains the VM
    Then the openai client at the front got the complete response
    And the front refused new calls with "draining" meanwhile
    And the front announced that it leaves and stopped

  Scenario: a disconnect of the caller cancels the call at the engine
    # The caller closes its connection in mid-stream. The front closes the call's parts, and
    # the engine gets a cancel request.
    When a caller of the front disconnects in mid-stream
    Then the engine behind the front gets a cancel request

  Scenario: the connection of a caller that does not read is dropped
    # The connection stays open and the caller reads no data. Without a limit its response
    # would stay in memory for ever.
    When a caller of the front reads nothing of a large response
    Then the front drops the connection after 500 to 1500 ms
