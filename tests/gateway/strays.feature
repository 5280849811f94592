Feature: an answer is a request's only if it shows that it is

  # Guards against a promise "not run" for an order that runs, and against another request's answer.
  Scenario Outline: bytes of no request that come <moment> change no answer of <kind>
    Given daemons before a server of "<service>" in "<centre>", and bytes of no request <moment>
    When 16 requests for "<path>" come with each form of those bytes
    Then each final answer fits the runs of its request
    And each request is served with each form

    Examples: at servers of the own region
      | kind    | service | centre  | path     | moment                                 |
      | orders  | books   | north-1 | /order/x | at accept                              |
      | orders  | books   | north-1 | /order/x | before the right response              |
      | orders  | books   | north-1 | /order/x | behind an interim response with the id |
      | orders  | books   | north-1 | /order/x | after the right response               |
      | streams | model   | north-1 | /chat/x  | at accept                              |
      | streams | model   | north-1 | /chat/x  | before the right response              |
      | streams | model   | north-1 | /chat/x  | after the right response               |

    Examples: by way of another region's VM
      | kind    | service | centre  | path     | moment                                 |
      | orders  | books   | south-1 | /order/x | at accept                              |
      | orders  | books   | south-1 | /order/x | before the right response              |
      | orders  | books   | south-1 | /order/x | after the right response               |
      | streams | model   | south-1 | /chat/x  | before the right response              |

  # Guards against the same where what comes harms the framing of the right response.
  Scenario Outline: bytes that are no response and come <moment> make no answer wrong
    Given daemons before a server of "books" in "<centre>", and bytes of no request <moment>
    When 16 requests for "/order/x" come with each raw form of those bytes
    Then each final answer fits the runs of its request

    Examples:
      | centre  | moment                    |
      | north-1 | at accept                 |
      | north-1 | before the right response |
      | north-1 | after the right response  |
      | south-1 | before the right response |

  # Guards against orders that fail on kept connections into which a server puts bytes of no request.
  Scenario: orders keep off kept connections of a server that sent bytes of no request
    Given daemons before a server of "books" in "north-1", and bytes of no request after the right response
    When 96 requests for "/order/x" come one after the other with the form "no HTTP"
    Then each final answer fits the runs of its request
    And at most 2 of them fail

  # Guards against a server that is lost to all for one odd response.
  Scenario: a misdirection that names no request costs the server nothing
    Given daemons before a server of "books" in "north-1", and bytes of no request before the right response
    When 1 requests for "/order/x" come one after the other with the form "a 421 with no id"
    And 20 requests for "/order/x" come one after the other with no such bytes
    Then each final answer fits the runs of its request
    And at most 0 of them fail

  Scenario: what came of no request is counted and named in the log
    Given daemons before a server of "books" in "north-1", and bytes of no request before the right response
    When 3 requests for "/order/x" come one after the other with the form "a marked 503 with no id"
    Then the log names 3 responses of nobody, with their server, status and connection
