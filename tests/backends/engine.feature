Feature: answers of engines reach the caller whole or as an error

  Background:
    Given a backends rig

  Scenario Outline: an answer without faults is whole
    When the backends rig reads an engine call, streamed: <streamed>
    Then the engine answer at the backends rig is whole with usage

    Examples:
      | streamed |
      | yes      |
      | no       |

  Scenario Outline: a broken or silent stream is resumed and each token comes once
    # The caller sees one whole answer. The engine's connection falls silent, breaks or ends
    # without its end mark after some tokens; the rest is fetched on a new connection by the
    # stream's id and position, since the old connection may stay silent for good.
    Given the backends rig's engine has fault "<fault>" after <after> tokens, 1 times
    When the backends rig reads an engine call, streamed: yes
    Then the engine answer at the backends rig is whole with usage
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

  Scenario: a resume that repeats a token gives the caller each token once
    # The engine's connection breaks after 3 tokens, and the resumed stream starts one token
    # too early. Event ids show it; the repeated token is dropped.
    Given the backends rig's engine has fault "cut" after 3 tokens, 1 times
    And the backends rig's engine repeats a token when resumed
    When the backends rig reads an engine call, streamed: yes
    Then the engine answer at the backends rig is whole with usage

  Scenario Outline: a fault that cannot be mended is an error of the right kind
    # The caller never sees a clean end: the table says what it is told, and whether the call
    # may have run.
    Given the backends rig's engine has fault "<fault>" after 2 tokens, 99 times
    When the backends rig reads an engine call, streamed: <streamed>
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

  Scenario: silence is noticed within its limit
    # The engine takes the call and never answers. The limit is 400 ms to the first byte.
    Given the backends rig's engine has fault "accept_silent" after 0 tokens, 1 times
    When the backends rig reads an engine call, streamed: yes
    Then the backends rig noticed after 400 to 700 ms

  Scenario: an engine that nobody listens for ran nothing
    When the backends rig reads an engine call at a closed port
    Then the backends rig's caller got error "backend_refused" with ran "no"

  Scenario: closing the answer cancels it at the engine
    # The caller vanishes after two tokens. The connection is closed and the engine is told
    # to cancel, or it would go on generating for nobody.
    When the backends rig's caller vanishes after 2 tokens of 500
    Then the backends rig's engine was told to cancel

  Scenario: a connection is reused after a whole answer and never after silence
    When the backends rig reads an engine call, streamed: yes
    And the backends rig reads an engine call, streamed: no
    Then the backends rig opened 1 connection for calls
    Given the backends rig's engine has fault "accept_silent" after 0 tokens, 1 times
    When the backends rig reads an engine call, streamed: yes
    And the backends rig reads an engine call, streamed: yes
    Then the engine answer at the backends rig is whole with usage
    And the backends rig opened 2 connections for calls

  Scenario: load reports go on after the service crashed
    # A fault ends the service's task and the supervisor starts it again. Its polls must start
    # again too, or every report would go stale while engines work.
    When the backends rig waits for a load report
    And the backends rig's service crashes once
    And the backends rig's engine is asked for its load again
    Then the load report at the backends rig names engine "engine"

  Scenario: load reports arrive and a stale one is not shown
    When the backends rig waits for a load report
    Then the load report at the backends rig names engine "engine"
    When the backends rig's engine is gone
    Then the backends rig shows no load report
