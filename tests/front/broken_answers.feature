Feature: a caller of the front gets no broken answer of a backend server as a whole one

  # Guards against a 200 with an empty or short body, framed as complete.
  Scenario Outline: the plain service breaks its answer off, framed by <framing>
    Given a front rig
    And the plain service behind the front breaks its answers off
    When its answer framed by <framing> breaks off at any place of its <part>, with a caller each
    Then the caller got the whole answer, and none of the others looks whole with status 200

    Examples:
      | framing     | part |
      | length      | body |
      | chunked     | body |
      | early hints | body |
      | close       | head |
