Feature: requests with a part of prompts that crashes servers stop reaching them

  # Guards against a server that crashes unseen, and a log that doesn't tell under what.
  Scenario Outline: a VM tells which servers ended and which requests had just begun there
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1, m2@north-1"
    And model servers crash <point> under part "dead"
    When a prompt of parts "5c1e, dead" is sent to "n1"
    Then "n1" has noticed 1 server that ended

    Examples:
      | point               |
      | before the head     |
      | inside an event     |
      | at an unframed close |

  # Guards against single responses that break off being taken for the end of a server.
  Scenario Outline: a server that goes on after a response has ended is not taken for ended
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1"
    And server "m1" has fault "<fault>" 2 times
    When 4 prompts of parts "5c1e, 91bd" are sent to "n1"
    Then "n1" has noticed 0 servers that ended

    Examples:
      | fault    |
      | cut      |
      | lost     |
      | unframed |

  # Guards against a server that is taken for ended though other responses go on there.
  Scenario: a server that goes on with other responses is not taken for ended
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1"
    And model servers stream for 1.2 s
    And server "m1" has fault "lost" 1 times
    When 3 prompts of parts "5c1e, 91bd" are sent at once to "n1"
    Then "n1" has noticed 0 servers that ended

  # Guards against a stand-in that fails since another process took its port while it was down.
  Scenario: a server whose port is taken while it is down starts at another one
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1"
    When model server "m1" crashes and another process takes its port
    Then "n1" sends prompts to it at its new address

  # Guards against a query of death that takes one server after the other.
  Scenario Outline: at most three requests more reach servers after five have crashed
    Given a gateway of VMs "<vms>"
    And model servers "<servers>"
    And model servers crash <point> under part "dead"
    When prompts with part "dead" come to "<asked>" for 6 s, and sound ones beside them
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And the last prompts with part "dead" were refused at once as "part_blocked"
    And the sound prompts of the last 2 s were answered

    Examples: at one VM and at several
      | vms                                             | servers                                                                        | asked          | point                |
      | n1@north-1                                      | m1@north-1, m2@north-1, m3@north-1, m4@north-1                                 | n1             | inside an event      |
      | n1@north-1                                      | m1@north-1, m2@north-1, m3@north-1, m4@north-1                                 | n1             | before the head      |
      | n1@north-1                                      | m1@north-1, m2@north-1, m3@north-1, m4@north-1                                 | n1             | at an unframed close |
      | n1@north-1, n2@north-1, n3@north-1              | m1@north-1, m2@north-1, m3@north-1, m4@north-1                                 | n1, n2, n3     | inside an event      |
      | n1@north-1, t1@north-2, s1@south-1              | m1@north-1, m2@north-2, m3@north-1, m7@south-1, m8@south-1, m9@south-1         | n1, t1, s1     | inside an event      |
      | n1@north-1, s1@south-1                          | m7@south-1, m8@south-1, m9@south-1                                             | n1             | inside an event      |
      | n1@north-1, n2@north-1, s1@south-1              | m7@south-1, m8@south-1, m9@south-1                                             | n1, n2, s1     | before the head      |

  # Guards against a failover that carries the crash to the next server.
  Scenario: repeats of a stream that may be resumed count like new requests
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    And prompts go to route "plan"
    When prompts with part "dead" come to "n1, n2" for 6 s, and sound ones beside them
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And the sound prompts of the last 2 s were answered

  Scenario: two parts at once are both found
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1, m8@south-1, m9@south-1"
    And model servers crash inside an event under parts "dead, d00d"
    When prompts with parts "dead, d00d" in turn come to "n1, n2, s1" for 8 s, and sound ones beside them
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And at most 3 requests with part "d00d" reached servers after the fifth crash
    And the sound prompts of the last 2 s were answered

  # Guards against knowledge that waits for the store.
  Scenario: a part is found while the store is away
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1, m6@north-1, m7@north-1, m8@north-1, m9@north-1"
    And model servers crash inside an event under part "dead"
    When the store answers nothing any more
    And prompts with part "dead" come to "n1, n2" for 4 s, and sound ones beside them
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And the sound prompts of the last 1 s were answered

  # Guards against a stand-in that goes on answering on connections which it accepted as it crashed.
  Scenario Outline: no connection outlives a server's crash
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1"
    When 20 connections to "m1" are opened and it crashes <turns> turns of the event loop later
    Then none of them is open 200 ms later
    And no connection to it was accepted after its end

    Examples:
      | turns |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
