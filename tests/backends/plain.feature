Feature: calls to plain services are passed through and not retried

  Background:
    Given a backends rig

  Scenario Outline: each method and status passes through
    When the backends rig sends "<method>" "<path>" to the plain service
    Then the plain response at the backends rig has status <status> and <size> bytes

    Examples:
      | method | path                    | status | size   |
      | GET    | /bytes?count=10         | 200    | 10     |
      | GET    | /bytes?count=300000     | 200    | 300000 |
      | GET    | /bytes?count=9&length=0 | 200    | 9      |
      | HEAD   | /bytes?count=10         | 200    | 0      |
      | GET    | /empty                  | 204    | 0      |
      | DELETE | /empty                  | 204    | 0      |
      | GET    | /unchanged              | 304    | 0      |
      | GET    | /nowhere                | 404    | 24     |

  Scenario Outline: a call that is not idempotent has an unknown outcome once it was sent
    # The service accepts the booking and its response is lost. The caller's error says that the
    # outcome is unknown and not to retry; the service ran it once.
    Given the backends rig's plain service has fault "<fault>"
    When the backends rig sends a booking that is not idempotent
    Then the backends rig's caller got error "<kind>" with ran "<ran>"
    And the backends rig's plain service ran it <runs> times

    Examples:
      | fault         | kind            | ran     | runs |
      | accept_silent | backend_unknown | unknown | 1    |
      | cut           | backend_unknown | unknown | 1    |
      | crossed       | backend_unknown | unknown | 1    |
      | refuse        | backend_refused | no      | 0    |

  Scenario: a silent plain service ends the call within its timeout
    # The service accepts the call and never responds. Its timeout is 300 ms to the first byte; the
    # next call must not use the connection that fell silent.
    Given the backends rig's plain service has fault "accept_silent"
    When the backends rig sends "GET" "/bytes" to the plain service
    Then the backends rig's call ended after 300 to 600 ms
    And the backends rig's caller got error "backend_silent" with ran "unknown"

  Scenario Outline: a response that ends early is an error
    Given the backends rig's plain service has fault "<fault>" after 5 bytes
    When the backends rig sends "GET" "<path>" to the plain service
    Then the backends rig's caller got error "<kind>" with ran "unknown"

    Examples:
      | fault  | path                     | kind           |
      | cut    | /bytes?count=10          | stream_broken  |
      | cut    | /bytes?count=10&length=0 | stream_broken  |
      | silent | /bytes?count=10          | backend_silent |

  Scenario: a call that is not idempotent is never sent on a used connection
    When the backends rig sends "GET" "/bytes?count=1" to the plain service
    And the backends rig sends a booking that is not idempotent
    Then the plain response at the backends rig has status 201 and 8 bytes
    And the backends rig opened 2 connections for calls

  Scenario: hop-by-hop headers and credentials are not forwarded
    When the backends rig sends the plain service headers
      | name                | value        |
      | Authorization       | Bearer s     |
      | X-Api-Key           | s            |
      | Cookie              | s            |
      | Idempotency-Key     | s            |
      | Proxy-Authorization | s            |
      | X-Account           | forged       |
      | Connection          | X-Own, close |
      | X-Own               | 1            |
      | TE                  | trailers     |
      | Upgrade             | h2c          |
      | X-Kept              | yes          |
    Then the plain service at the backends rig got exactly the caller's headers "x-kept"
    And the plain service at the backends rig got account "family"

  Scenario: hop-by-hop headers are not returned either
    When the backends rig sends "GET" "/hints" to the plain service
    Then the plain response at the backends rig has header "x-kept" and not "x-hint keep-alive connection"
