Feature: the stand-in engine answers as its published API says

  Background:
    Given a stand-in engine with models "small"

  Scenario Outline: each path answers
    When the stand-in engine is asked "<method>" "<path>"
    Then the stand-in engine answers <status> with field "<field>"

    Examples:
      | method | path                | status | field   |
      | GET    | /v1/models          | 200    | data    |
      | GET    | /load               | 200    | running |
      | GET    | /cache-events       | 200    | events  |
      | GET    | /state              | 200    | models  |
      | GET    | /seen               | 200    | cancels |
      | GET    | /nowhere            | 404    | error   |
      | GET    | /streams/none       | 404    | error   |

  Scenario: a stream is whole, carries usage and its text is known beforehand
    When the stand-in engine streams 5 tokens
    Then the stand-in engine's stream is whole

  Scenario: cache events come late and with gaps
    When the stand-in engine runs 8 prompts that share no prefix
    Then the stand-in engine's cache events come late and leave out number 7

  Scenario: the load report lags
    When the stand-in engine is asked for its load at once after a call
    Then the stand-in engine's load report is older than the call

  Scenario Outline: stand-ins run as processes
    Then the stand-in "<name>" runs as a process and answers "<path>"

    Examples:
      | name   | path       |
      | engine | /v1/models |
      | plain  | /bookings  |

  Scenario: a stream resumed by position goes on with the next token
    When the stand-in engine streams 5 tokens
    And the stand-in engine's stream is resumed from 3
    Then the resumed events of the stand-in engine are "3 4 5"

  Scenario Outline: only an engine that checks fencing refuses an old number
    Given the stand-in engine checks fencing: <checks>
    When the stand-in engine is ordered to load "large" with fencing 5
    And the stand-in engine is ordered to load "old" with fencing 4
    Then the stand-in engine answers <status> with field "<field>"

    Examples:
      | checks | status | field  |
      | yes    | 409    | error  |
      | no     | 200    | models |
