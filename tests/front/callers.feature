Feature: checks of callers' requests before they use resources

  Background:
    Given a front rig

  Scenario Outline: invalid requests are refused as not run
    When the front gets "<method>" "<path>" with key "<key>" and body "<body>"
    Then the front responds with status <status>, code "<code>" and ran "no"
    And the front counted a refusal "<code>"

    Examples: keys and paths
      | method | path                     | key       | body | status | code               |
      | POST   | /v1/chat/completions     |           | {}   | 401    | key_missing        |
      | POST   | /v1/chat/completions     | sk-wrong  | {}   | 401    | key_unknown        |
      | GET    | /v1/models               |           |      | 401    | key_missing        |
      | GET    | /v1/entries              | sk-wrong  |      | 401    | key_unknown        |
      | GET    | /nowhere                 | sk-family |      | 404    | route_unknown      |
      | GET    | /v1/services/            | sk-family |      | 404    | route_unknown      |
      | GET    | /v1/chat/completions     | sk-family |      | 405    | method_not_allowed |
      | TRACE  | /v1/services/bookings/x  | sk-family |      | 405    | method_not_allowed |
      | GET    | /v1/services/nothing/x   | sk-family |      | 404    | service_unknown    |
      | GET    | /v1/state                | sk-family |      | 403    | operator_only      |
      | POST   | /v1/drain                | sk-family |      | 403    | operator_only      |
      | GET    | /metrics                 | sk-family |      | 403    | operator_only      |
      | GET    | /metrics                 |           |      | 401    | key_missing        |

    Examples: bodies
      | method | path                 | key       | body                                                        | status | code          |
      | POST   | /v1/chat/completions | sk-family |                                                             | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {                                                           | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | []                                                          | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small"}                                           | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[]}                             | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":"hi"}                           | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":5,"messages":[{}]}                                 | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"max_tokens":0}            | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"max_tokens":"x"}          | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"n":99}                    | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"n":-1}                    | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"n":2,"stream":true}       | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{}],"stream_options":4}        | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"small","messages":[{"content":"sk-family"}]}      | 400    | bad_request   |
      | POST   | /v1/chat/completions | sk-family | {"model":"other","messages":[{}]}                           | 404    | model_unknown |
      | POST   | /v1/completions      | sk-family | {"model":"small","prompt":5}                                | 400    | bad_request   |
      | POST   | /v1/completions      | sk-family | {"model":"small","prompt":[]}                               | 400    | bad_request   |
      | GET    | /v1/services/bookings/x?key=sk-family | sk-family |                                            | 400    | bad_request   |
      | POST   | /v1/idempotency-keys | sk-family | {"count":0}                                                 | 400    | bad_request   |
      | POST   | /v1/idempotency-keys | sk-family | {"count":"x"}                                               | 400    | bad_request   |
      | POST   | /v1/tickets          | sk-operator | {                                                         | 400    | bad_request   |
      | POST   | /v1/tickets          | sk-operator | {"number":"x","other":1}                                  | 422    | ticket_invalid |
      | GET    | /v1/tickets?from=x   | sk-operator |                                                           | 400    | bad_request   |

  Scenario: a refusal names the field at fault and every refusal has a request id
    When the front gets "POST" "/v1/chat/completions" with key "sk-family" and body "{"model":"small","messages":[{}],"max_tokens":"x"}"
    Then the front's refusal names field "max_tokens"
    And the front's response has a request id

  Scenario Outline: invalid or oversized raw requests
    # A caller sends bytes that no HTTP library would. It gets a refusal in JSON and the
    # connection is closed; the front keeps serving.
    When the front gets raw bytes "<what>"
    Then the raw response of the front has status <status> and code "<code>"
    And the front counted a refusal "<code>"

    Examples:
      | what                | status | code                 |
      | not http            | 400    | bad_request          |
      | two lengths         | 400    | bad_request          |
      | length and chunked  | 400    | bad_request          |
      | large header        | 431    | headers_too_large    |
      | many headers        | 431    | headers_too_large    |
      | large target        | 431    | headers_too_large    |
      | large length        | 413    | body_too_large       |
      | large chunked body  | 413    | body_too_large       |
      | half a head         | 408    | caller_timeout       |
      | half a body         | 408    | caller_timeout       |
      | bad deadline        | 400    | bad_request          |
      | query not ascii     | 400    | bad_request          |
      | path not ascii      | 400    | bad_request          |
      | nested body         | 400    | bad_request          |
      | long idempotency    | 400    | idempotency_invalid  |

  Scenario: connections are limited for each address
    When the front has 8 open connections from one address
    Then the front refuses one more connection with "too_many_connections"

  Scenario: connections cannot use up the file descriptors and memory of running requests
    # Callers at many addresses hold connections, each address within its own limit. If the newest
    # were refused, connections that send nothing would keep ordinary callers out.
    When the front has 8 open connections from each of 3 addresses
    Then a call from another address is answered, and the front has at most 24 connections

  Scenario: a connection is refused where requests run on all others
    Given the engine behind the front delays its first token
    When the front may have 3 connections
    And 3 callers hold streams open at the front
    Then the front refuses a connection from any address with "vm_full"

  Scenario: a connection without a request is closed
    When a caller connects to the front and sends nothing
    Then the front closes the connection after 1500 to 2300 ms

  Scenario: requests in flight cannot exhaust the VM's memory
    # Six callers hold open streams and there is no memory for a seventh. Its refusal says that
    # the call did not run, and lists other VMs.
    Given the engine behind the front delays its first token
    When 6 callers hold streams open at the front
    And the front gets a chat call
    Then the front responds with status 503, code "vm_full" and ran "no"
    And the front's refusal lists entries "http://127.0.0.1:8002 http://127.0.0.1:8003"

  Scenario: the key and forged headers are not forwarded
    When the front gets a plain call with forged headers
    Then the plain service behind the front got no key and no forged header

  Scenario: the front sets a token limit if the caller sets none
    When the front gets a chat call without a token limit
    Then the call behind the front has a token limit in its body and its cost
