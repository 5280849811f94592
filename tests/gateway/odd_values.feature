Feature: odd values from outside end and hold back nothing but themselves

  # Guards against an entry that can't be read and is written again and again: its service ended
  # each time, and what stood behind the entry was never applied.
  Scenario Outline: an entry that is written again and again holds back no other
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    When another writer writes <bytes> at "<key>" every 100 ms
    And 3 s later server "b1" drains, and the key of "large" is withdrawn
    Then 1 s later no request of 12 for "/look/x" reaches "b1", and all are answered
    And a caller of "large" gets 401
    And no service was started again

    Examples: entries of servers, of which the first sort before all others
      | key            | bytes                             |
      | servers/a-0    | arrays nested 5000 deep           |
      | servers/a-0    | a deep field that nobody reads    |
      | servers/a-0    | a server whose host is a..b       |
      | servers/a-0    | a server whose host is 64 long    |
      | servers/a-0    | a server with a port too high     |
      | servers/a-0    | a server with slots of 400 digits |
      | servers/a-0    | a server that is cold for 10^30   |
      | servers/a-0    | no UTF-8                          |
      | servers/a-0    | a megabyte of open arrays         |
      | servers/a-0    | a server at 3000 arrays           |
      | servers/a-0    | a server with slots of 900 KB     |
      | servers/z-9    | arrays nested 5000 deep           |
      | servers/\r\nx: | a sound server                    |
      | servers/žluť   | a sound server                    |
      | servers/a/b2   | no UTF-8                          |

    Examples: other entries
      | key                         | bytes                          |
      | op/config                   | arrays nested 5000 deep        |
      | op/config                   | a deep field that nobody reads |
      | op/evacuate/žluť            | arrays nested 5000 deep        |
      | hickorybeam/vm/x            | arrays nested 5000 deep        |
      | hickorybeam/vm/x            | a VM whose host is a..b        |
      | hickorybeam/blocked/6162    | arrays nested 5000 deep        |
      | hickorybeam/blocked/6162    | a block of 10^30 ms            |
      | hickorybeam/suspects/x      | arrays nested 5000 deep        |
      | hickorybeam/leaving/b2      | arrays nested 5000 deep        |

  # Guards against a service that ends at the first entry of each read, and never comes to the others.
  Scenario: what stands behind a change that ends its service is applied when it starts again
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    When the service of "n1" that applies changes fails at entry "servers/a-0" and reads all again
    And another writer writes a sound server at "servers/a-0" every 20 ms
    And 0.3 s later server "b1" drains, and the key of "large" is withdrawn
    Then 2 s later no request of 12 for "/look/x" reaches "b1", and all are answered
    And a caller of "large" gets 401

  # Guards against an item that can't be read and takes its page, or all later changes, with it.
  Scenario Outline: an item that can't be read takes no other with it
    Given a small gateway with servers "b1:books, b2:books, m1:model"
    When the store puts <item> before each item of <reply>
    And server "b1" drains, and the key of "large" is withdrawn
    Then 1 s later no request of 12 for "/look/x" reaches "b1", and all are answered
    And a caller of "large" gets 401
    And no service was started again

    Examples:
      | reply     | item                      |
      | a watch   | one without a key         |
      | a watch   | one whose value is no text |
      | a watch   | one of revision 10^30     |
      | a read    | one without a key         |
      | a read    | one whose value is no text |
      | a read    | one of revision 10^30     |

  # Guards against another VM's bytes that end the service that asked for them.
  Scenario Outline: odd entries copied from another VM leave a VM to ask the next one
    Given a small gateway
    When the store stops responding
    And VM "n2" starts with a seed that sends <bytes>, and "n1" as its next one
    And a caller of "small" asks "n2" for "/look/x"
    Then the caller gets 200
    And no service was started again

    Examples:
      | bytes                             |
      | arrays nested 5000 deep           |
      | an entry of a server nested deep  |
      | no UTF-8                          |

  Scenario Outline: odd messages between VMs change nothing
    Given a small gateway with VMs "n1, n2"
    When the peers' port of "n1" gets 40 odd <messages>
    And a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
    And "n1" still counts 2 live VMs
    And no service was started again

    Examples:
      | messages                |
      | status reports          |
      | placement requests      |
      | forwarded requests      |
      | requests for changes    |

  # Guards against a request without an id whose answer nothing shows to be its own.
  Scenario: odd ids of requests are answered, and a blank one is refused
    Given a small gateway
    And callers may send heads of 16384 bytes
    When a caller asks "n1" with each odd value of header "X-Hickorybeam-Request-Id"
    Then each of them gets 200, and a blank one 400
    And no service was started again

  Scenario: a request with several ids is refused unsent
    Given a small gateway
    When a caller asks "n1" with two ids
    Then the caller gets 400
    And no server executed a request

  # Guards against a header's value that ends the request of its own caller without an answer, or
  # those of others.
  Scenario Outline: odd values in a request are answered, and no other request suffers
    Given a small gateway
    And callers may send heads of 16384 bytes
    When a caller asks "n1" with each odd value of header "<name>"
    Then each of them gets 200
    When a caller of "small" asks "n1" for "/look/x"
    Then the caller gets 200
    And no service was started again

    Examples:
      | name                                |
      | X-Hickorybeam-Prompt-Prefix         |
      | X-Hickorybeam-Token-Counts          |
      | Last-Event-Id                       |
      | Connection                          |

  Scenario Outline: odd values in a server's answer leave it an answer
    Given a small gateway
    When server "b1" answers with each odd value of header "<name>"
    Then each of them gets 200
    And no service was started again

    Examples:
      | name                            |
      | X-Hickorybeam-Cold-Milliseconds |
      | X-Hickorybeam-Server-Load       |
      | X-Hickorybeam-Instance-Id       |
      | Server-Limit                    |
      | Keep-Alive                      |
      | Content-Type                    |

  Scenario Outline: a settings file that can't be read changes nothing
    Given a daemon of a small gateway, started from a settings file
    When its settings file changes to "<line>" and is reloaded within 20 s
    Then its retry allowance is 40
    And it still serves callers

    Examples:
      | line                                    |
      | repeat_allowance: <deep>                |
      | a_field_that_nobody_reads: <deep>       |
      | repeat_allowance: <400 digits>          |
      | grace_s: 1e308                          |
      | repeat_allowance: 7, grace_s: <200 KB>  |

  # Guards against a caller that leaves and ends all requests of its VM.
  Scenario Outline: a caller that leaves before its answer ends no other request
    Given a small gateway
    And server "m1" takes 200 ms for each event
    When a caller with HTTP/<version> leaves "n1" <moment>, while a stream runs
    Then the stream was complete with events 1 to 6
    And no service was started again

    Examples:
      | version | moment               |
      | 1.0     | before the answer    |
      | 1.0     | within the answer    |
      | 1.1     | before the answer    |
      | 1.1     | within the answer    |
