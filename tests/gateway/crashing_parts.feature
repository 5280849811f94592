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
