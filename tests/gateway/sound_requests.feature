Feature: a sound request is blamed for no server's end

  Background:
    Given a gateway of VMs "n1@north-1, n2@north-2, s1@south-1, s2@south-1"

  # Guards against blame for what did not end servers.
  Scenario Outline: a sound request <how> is not blocked
    Given 16 plain servers in two regions
    And servers end 80 ms after they get body "{'n': 'bad'}"
    And plain servers take <work> ms
    When a sound request comes to all VMs on route "look" for 6 s, <how>, while servers <end>
    Then each VM blocks 0 requests and 0 parts

    Examples:
      | work | how                              | end                          |
      | 300  | its caller leaves after 50 ms    | live on                      |
      | 300  | its deadline is 60 ms            | live on                      |
      | 60   | many send it                     | end half at once             |
      | 60   | many send it                     | fall silent half at once     |
      | 60   | many send it                     | are cut off and come back    |
      | 300  | its caller leaves after 50 ms    | are cut off and come back    |
      | 60   | many send it                     | stand still by turns         |
      | 60   | many send it                     | are back at once, one by one |

  # Guards against an overload of all servers that is taken for servers which hang under one request.
  Scenario Outline: a sound request that is repeated while no server answers is neither blocked nor held
    Given 16 <kind> servers in two regions
    And servers hang under body "{'n': 'bad'}"
    When a sound request comes to all VMs on route "<route>" for 6 s, its caller leaves after 300 ms, while servers all answer nothing for a while
    Then each VM blocks 0 requests and 0 parts
    And no VM has refused a request as "request_blocked"

    Examples:
      | kind  | route |
      | plain | look  |
      | plain | order |
      | model | chat  |

  # Guards against requests that are kept for as long as their VM runs.
  Scenario: a request that was given up is forgotten once its server has outlived it
    Given 16 plain servers in two regions
    And servers end 80 ms after they get body "{'n': 'bad'}"
    And plain servers take 300 ms
    When a sound request comes to all VMs on route "look" for 2 s, its caller leaves after 50 ms, while servers live on
    And nothing is sent for 1.5 s
    Then no VM keeps a request that was given up

  # Guards against an entry of an earlier server at an address, taken for that of one which replaced the later one.
  Scenario: a server at the address of one whose entry has yet to lapse has not ended
    Given model servers "m1@north-1"
    And server "m1" has taken the address of one whose entry has yet to lapse
    And server "m1" has fault "cut" 1 times
    When 1 prompts of parts "5c1e, b0" are sent to "n1"
    And nothing is sent for 0.5 s
    Then "n1" has noticed 0 servers that ended
