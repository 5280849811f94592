Feature: the body of another server's response is passed on as it arrives

  Background:
    Given a request was sent on a connection whose response is passed on

  Scenario: events are passed on without waking the task that reads the response
    When the events "a, b, c" arrive one by one
    Then the receiver got "abc" before its task ran

  # Guards against a slow caller whose bytes are lost, or overtaken by those that arrive later.
  Scenario: bytes that arrive while the receiver is not ready follow in order once it is
    Given the receiver is not ready after 1 more piece
    When the events "a, b, c" arrive one by one
    Then the receiver got "a" before its task ran
    When the receiver is ready and the response ends with "d"
    Then the receiver got "abcd" in all and the response is complete

  # Guards against a truncated response that looks complete, or loses what came before its end.
  Scenario: a connection that ends early fails the response after the bytes that came
    When the events "a, b" arrive one by one
    And the connection is lost
    Then the receiver got "ab" in all and the response is broken

  # Guards against a caller that never reads: its server's bytes must not fill the VM's memory.
  Scenario: reading from the server pauses while the receiver is not ready
    Given the receiver is not ready after 1 more piece
    When 3 pieces of 600000 bytes arrive
    Then reading from the server is paused
    When the receiver is ready and the response ends with "d"
    Then reading from the server goes on

  # Guards against a whole answer that is taken for broken, since a server answered before it had read
  # the whole request and takes no more of it.
  Scenario: a response that ends with its connection is whole although its request can't be written
    Given a request was sent whose response has neither a length nor chunks
    When the events "a, b" arrive without chunks
    And the other end closes its side, and the connection is reset by what is still written
    Then the receiver got "ab" in all and the response is complete
    And the connection can't be used again

  Scenario: a response without a length that is reset before its end is broken
    Given a request was sent whose response has neither a length nor chunks
    When the events "a, b" arrive without chunks
    And the connection is reset
    Then the receiver got "ab" in all and the response is broken

  # Guards against bytes without end that this end breaks off, and whose part counts as whole once the
  # other end closes its side in turn, while a slow caller still takes what came.
  Scenario: a response that this end broke off is not completed by the other end's close
    Given a request was sent whose response has neither a length nor chunks
    And bodies are bounded by 100000 bytes
    And the receiver is not ready after 1 more piece
    When 120000 bytes arrive without chunks, and the other end closes its side
    And the receiver is ready
    Then the response counts as broken

  # Guards against a large response for which the VM itself needs a turn of a busy event loop per part.
  Scenario: a response that a task reads whole is not paused by its size
    Given a request was sent on a connection whose response a task reads whole
    When 16 pieces of 30000 bytes arrive
    Then reading from the server is not paused

  # Guards against much of a response in memory for each caller that reads nothing.
  Scenario: little is buffered for a receiver that takes nothing
    Given a request was sent on a connection whose response is passed on
    And the receiver is not ready after 1 more piece
    When 3 pieces of 30000 bytes arrive, each in a turn of its own
    Then reading from the server is not paused
    When 2 pieces of 30000 bytes arrive, each in a turn of its own
    Then reading from the server is paused
