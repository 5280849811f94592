Feature: the stand-in network passes on how a connection ends

  # Guards against tests in which a reset reaches the other end as the orderly end of an answer.
  Scenario Outline: the end of a connection reaches the other end as it was
    Given a server behind the stand-in network that sends "hello" and then <ends>
    When a client reads to the end through the stand-in network
    Then the client got "hello" and its connection <ended>

    Examples:
      | ends   | ended          |
      | closes | ended in order |
      | resets | was reset      |

  Scenario: what is cut is reset
    Given a server behind the stand-in network that sends "hello" and then waits
    When the stand-in network is cut while a client reads through it
    Then the client got "hello" and its connection was reset
