Feature: what a backend server says of its speed reaches whoever places for its region

  Scenario: what one VM hears reaches the placement coordinator
    Given a small gateway with VMs "n1, n2, n3, n4, n5, n6"
    And one VM coordinates the placement of service "model"
    And server "m1" says that work takes 180 percent of usual
    When a caller sends a VM that doesn't coordinate a prompt
    Then within 1 s the placement coordinator knows that work takes 1.8 times as long at "m1"
    And the metrics tell that 1 server of "model" tells its speed

  Scenario: what a plain service says reaches the VMs that don't send to it
    Given a small gateway with VMs "n1, n2"
    And server "b1" says that work takes 250 percent of usual
    When a caller of "small" asks "n1" for "/look/x"
    Then within 1 s every VM knows that work takes 2.5 times as long at "b1"

  # Guards against the answer to something else that is taken for that to a health check.
  Scenario Outline: a health answer that <names> is <taken>
    Given a small gateway with VMs "n1, n2"
    And server "b1" says that work takes 250 percent of usual
    And its health answers <how>
    When "n1" checks the health of "b1"
    Then "n1" <knows> how long work takes at "b1"

    Examples:
      | names            | taken       | how             | knows         |
      | names its server | recorded    | name it         | knows         |
      | names no server  | not recorded | don't name it  | doesn't know  |

  # Guards against a restarted server that is taken for as slow as the one before it.
  Scenario: what an earlier start of a server said is forgotten
    Given a small gateway with VMs "n1, n2"
    And server "b1" says that work takes 250 percent of usual
    When a caller of "small" asks "n1" for "/look/x"
    Then within 1 s every VM knows that work takes 2.5 times as long at "b1"
    When server "b1" starts again and says nothing of its speed
    Then no VM knows anything of the speed of "b1"
    And a report of its earlier start changes nothing

  # Guards against figures that another VM passes on from a faulty server, or from long ago.
  Scenario Outline: reports that make no sense or are too old change nothing
    Given a small gateway with VMs "n1, n2"
    When "n1" gets a report that "b1" is busy with <busy> requests at <factor> times, <age> ms ago
    Then no VM knows anything of the speed of "b1"

    Examples:
      | busy | factor | age    |
      | 3    | 0.0    | 10     |
      | 3    | -1.0   | 10     |
      | 3    | nan    | 10     |
      | 3    | inf    | 10     |
      | -3   | 1.5    | 10     |
      | 3    | 1.5    | -10    |
      | 3    | 1.5    | 600000 |
