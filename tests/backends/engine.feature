Feature: responses of engines reach the caller complete or as an error

  Background:
    Given a backends rig

  Scenario Outline: a response without faults is complete
    When the backends rig sends an engine call, streamed: <streamed>
    Then the engine response at the backends rig is complete with usage

    Examples:
      | streamed |
      | yes      |
      | no       |

  Scenario Outline: a broken or silent stream is resumed and delivers each token once
    # After some tokens, the engine's connection falls silent, breaks or ends without an end mark.
    # The rest is fetched over a new connection by the stream's id and position, since the old one
    # may stay silent for good. The caller gets one complete response.
    Given the backends rig's engine has fault "<fault>" after <after> tokens, 1 times
    When the backends rig sends an engine call, streamed: yes
    Then the engine response at the backends rig is complete with usage
    And the backends rig counted 1 resume
    And the backends rig's engine ran the call 1 time

    Examples:
      | fault  | after |
      | silent | 0     |
      | silent | 3     |
      | silent | 6     |
      | cut    | 0     |
      | cut    | 1     |
      | cut    | 6     |
      | no_end | 4     |
      | part   | 0     |
      | part   | 4     |

  Scenario: a resume that repeats a token delivers each token once
    # The engine's connection breaks after 3 tokens, and the resumed stream starts one token too
    # early. Its event ids show this, and the repeated token is dropped.
    Given the backends rig's engine has fault "cut" after 3 tokens, 1 times
    And the backends rig's engine repeats a token on resume
    When the backends rig sends an engine call, streamed: yes
    Then the engine response at the backends rig is complete with usage

  Scenario Outline: a fault without recovery is reported with the right error kind
    # The caller never gets a clean end: the table lists the error and whether the call may have
    # run.
    Given the backends rig's engine has fault "<fault>" after 2 tokens, 99 times
    When the backends rig sends an engine call, streamed: <streamed>
    Then the backends rig's caller got error "<kind>" with ran "<ran>"

    Examples:
      | fault         | streamed | kind            | ran     |
      | silent        | yes      | backend_silent  | unknown |
      | cut           | yes      | stream_broken   | unknown |
      | no_end        | yes      | stream_broken   | unknown |
      | fail          | yes      | backend_failed  | unknown |
      | refuse        | yes      | backend_refused | no      |
      | accept_silent | yes      | backend_silent  | unknown |
      | crossed       | yes      | backend_failed  | unknown |
      | fail          | no       | backend_failed  | unknown |
      | refuse        | no       | backend_refused | no      |
      | accept_silent | no       | backend_silent  | unknown |
      | crossed       | no       | backend_failed  | unknown |
      | short         | no       | stream_broken   | unknown |
      | garbled       | no       | backend_failed  | unknown |
      | silent        | no       | backend_silent  | unknown |

  Scenario: silence ends the call within its timeout
    # The engine accepts the call and never responds. The timeout is 400 ms to the first byte.
    Given the backends rig's engine has fault "accept_silent" after 0 tokens, 1 times
    When the backends rig sends an engine call, streamed: yes
    Then the backends rig's call ended after 400 to 700 ms

  Scenario: a call to a closed port is reported as not run
    When the backends rig sends an engine call to a closed port
    Then the backends rig's caller got error "backend_refused" with ran "no"

  Scenario: closing the response cancels it at the engine
    # The caller disconnects after two tokens. The connection is closed and the engine gets a
    # cancel, or it would go on generating for nobody.
    When the backends rig's caller disconnects after 2 tokens of 500
    Then the backends rig's engine got a cancel

  Scenario: a connection is reused after a complete response and never after a timeout
    When the backends rig sends an engine call, streamed: yes
    And the backends rig sends an engine call, streamed: no
    Then the backends rig opened 1 connection for calls
    Given the backends rig's engine has fault "accept_silent" after 0 tokens, 1 times
    When the backends rig sends an engine call, streamed: yes
    And the backends rig sends an engine call, streamed: yes
    Then the engine response at the backends rig is complete with usage
    And the backends rig opened 2 connections for calls

  Scenario: load reports continue after a crash of the service
    # An error ends the service's task and the supervisor starts it again. Polling must start again
    # too, or all reports would go stale while the engines work.
    When the backends rig waits for a load report
    And the backends rig's service crashes once
    And the backends rig's engine reports its load again
    Then the load report at the backends rig names engine "engine"

  Scenario: load reports arrive and a stale one is not returned
    When the backends rig waits for a load report
    Then the load report at the backends rig names engine "engine"
    When the backends rig's engine is stopped
    Then the backends rig has no load report

  Scenario: a refusal tells for how long the engine wants no calls
    Given the backends rig's engine has fault "refuse" after 0 tokens, 1 times
    When the backends rig sends an engine call, streamed: yes
    Then the backends rig's caller got error "backend_refused" with ran "no"
    And the engine asked for 1000 ms of rest
