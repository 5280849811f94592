Feature: a response that was broken off looks whole to no caller, however its process or its connection ends

  # Guards against a part of an unframed body that looks whole, as a kernel closes in order what nobody resets.
  Scenario Outline: a response "<answer>" to a caller with HTTP/1.<version> that <caller> breaks off, as the process <end>
    Given a server process on <loop> that ends connections whose callers read nothing for <stall> ms
    When a caller with HTTP/1.<version> asks it for "<answer>" and <caller>
    And the process <end>
    Then the caller's connection was reset, or lacks the end of the body

    Examples:
      | loop    | stall | version | answer         | caller       | end             |
      | uvloop  | 60000 | 0       | /400/waits     | reads        | is killed       |
      | asyncio | 60000 | 0       | /400/waits     | reads        | is killed       |
      | uvloop  | 60000 | 1       | /400/waits     | reads        | is killed       |
      | uvloop  | 60000 | 0       | /400/waits     | reads        | stops in order  |
      | asyncio | 60000 | 0       | /400/waits     | reads        | stops in order  |
      | uvloop  | 60000 | 0       | /400/fails     | reads        | goes on         |
      | asyncio | 60000 | 0       | /400/fails     | reads        | goes on         |
      | uvloop  | 60000 | 0       | /400/waits     | half-closes  | goes on         |
      | asyncio | 60000 | 0       | /400/waits     | half-closes  | goes on         |
      | uvloop  | 500   | 0       | /8000000/waits | reads late   | goes on         |
      | asyncio | 500   | 0       | /8000000/waits | reads late   | goes on         |
      | uvloop  | 500   | 0       | /8000000/ends  | reads late   | goes on         |
      | asyncio | 500   | 0       | /8000000/ends  | reads late   | goes on         |
      | uvloop  | 500   | 1       | /8000000/ends  | reads late   | goes on         |
      | uvloop  | 60000 | 0       | /8000000/ends  | reads late   | is killed       |
      | asyncio | 60000 | 0       | /8000000/ends  | reads late   | is killed       |
      | uvloop  | 60000 | 0       | /8000000/ends  | reads late   | stops in order  |
      | asyncio | 60000 | 0       | /8000000/ends  | reads late   | stops in order  |

  # Guards against a reset that takes the rest of a whole response from its caller.
  Scenario Outline: a whole response reaches its caller to the last byte, whatever comes after it
    Given a server process on <loop> that ends connections whose callers read nothing for 60000 ms
    When a caller with HTTP/1.<version> asks it for "<answer>" and <caller>
    Then the caller gets the whole body, and its connection ends in order
    And the process has logged nothing

    Examples:
      | loop    | version | answer        | caller        |
      | uvloop  | 0       | /0/ends       | reads         |
      | asyncio | 0       | /0/ends       | reads         |
      | uvloop  | 0       | /400/ends     | reads         |
      | asyncio | 0       | /400/ends     | reads         |
      | uvloop  | 0       | /400/ends     | half-closes   |
      | uvloop  | 0       | /8000000/ends | reads late    |
      | asyncio | 0       | /8000000/ends | reads late    |
      | uvloop  | 0       | /8000000/ends | half-closes   |
      | asyncio | 0       | /8000000/ends | half-closes   |
      | uvloop  | 1       | /8000000/ends | reads late    |

  # Guards against a request that runs on a connection which ends with the response before it.
  Scenario Outline: what comes behind a response that ends with its connection is not started
    Given a server process on <loop> that ends connections whose callers read nothing for 60000 ms
    When an old caller that keeps connections asks it for "/8000000/ends" and "/0/fails", and reads late
    Then the caller gets the whole body, and its connection ends in order
    And the process has logged nothing

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |
