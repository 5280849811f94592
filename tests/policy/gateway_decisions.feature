Feature: routes, retries, cold servers and the choice of a server

  Scenario Outline: the longest prefix of the host's routes matches a path
    Given routes for prefixes "/a/, /a/b/, /" of host "x" and "/z/" of host "y"
    Then host "<host>" and path "<path>" match "<route>"

    Examples:
      | host | path     | route |
      | x    | /a/b/c   | /a/b/ |
      | x    | /a/b     | /a/   |
      | x    | /a/      | /a/   |
      | x    | /ab/c    | /     |
      | y    | /z/1/2/3 | /z/   |
      | y    | /z       | none  |
      | w    | /a/      | none  |

  # Guards against a caller being sent to a region that may not run its request while both VMs of
  # the first home region are replaced and the second home region has VMs. It happens when another
  # route of the host, bound to the first home region only, decides alone.
  Scenario Outline: a host's home regions are those of all its routes, of most routes first
    Given routes of one host bound to "<bound>"
    Then the host's home regions are "<homes>"

    Examples:
      | bound                       | homes        |
      | north+south, north          | north, south |
      | north+south, south, -       | south, north |
      | north+south, north+south    | north, south |
      | north, south                | north, south |
      | -                           | none         |

  Scenario: a split route keeps its weights
    Given a route split 90 to "old" and 10 to "new"
    Then of 1000 evenly spaced fractions 900 pick "old" and 100 pick "new"

  Scenario Outline: retries stay within the fleet's budget while everything fails
    # Every request fails and asks for a retry, at every VM. The sum over all VMs in any window
    # stays within the share of the requests and the allowance.
    Given a retry budget of 0.2 and 58 in 10 s for <vms> VMs
    When each VM gets <rate> failing requests a second for 30 s
    Then every window of 10 s holds at most 0.2 of its requests and 58 retries
    And at least <least> retries were made in all

    Examples:
      | vms | rate | least |
      | 9   | 2    | 60    |
      | 9   | 30   | 800   |
      | 1   | 1    | 30    |

  Scenario Outline: a cold server gets at most its allowed rate from all VMs together
    # All VMs of its region see it come back idle, with requests waiting at each of them.
    Given a cold server that is allowed 2.6 requests a second, and <vms> VMs that send to it
    When every VM sends all that it may for 5 s
    Then it gets at most 6.9 requests in any second
    And in 5 s it gets at least 10

    Examples:
      | vms |
      | 2   |
      | 4   |
      | 40  |

  Scenario Outline: VMs keep to a named limit together, also while they disagree on who is live
    # The members of a group are live to each other only; all VMs are known to all.
    Given a server that names a limit of <limit> requests a second, and groups of "<groups>" VMs
    When every VM sends all that it may for 20 s
    Then it gets at most <most> requests in any 4 s
    And in 20 s it gets at least <least>

    Examples:
      | limit | groups    | most | least |
      | 0     | 3         | 5    | 2     |
      | 0.5   | 3         | 8    | 9     |
      | 1     | 1         | 11   | 10    |
      | 1     | 3         | 11   | 19    |
      | 1     | 1, 2      | 11   | 19    |
      | 1     | 65        | 11   | 19    |
      | 1     | 1, 64     | 11   | 19    |
      | 2.1   | 2, 2      | 17   | 40    |
      | 8     | 65        | 53   | 150   |
      | 8     | 1, 64     | 53   | 150   |
      | 30    | 65        | 185  | 580   |

  Scenario: prompts with the same shared part go to one server, on every VM
    Given idle servers "a, b, c"
    Then 20 prompts of subject "s1" all go to one server, whichever VM chooses
    And prompts of 60 subjects use every server

  Scenario: a busy preferred server loses a prompt when its wait exceeds the prefill it saves
    Given idle servers "a, b, c"
    When the preferred server of subject "s1" has 40000 tokens to prefill
    Then a prompt of subject "s1" goes to another server

  Scenario: a server that fails half its requests gets few
    Given idle servers "a, b, c"
    When server "a" fails every other of its 24 last requests
    Then 20 questions without shared parts go to others than "a"

  Scenario: the back-off from an unreachable server starts at once, doubles, and is reset by a response
    Given idle servers "a, b"
    When server "a" cannot be reached
    Then the back-off from server "a" is 400 ms
    When its back-off is over and server "a" cannot be reached
    Then the back-off from server "a" is 800 ms
    When its back-off is over and server "a" responds
    And server "a" cannot be reached
    Then the back-off from server "a" is 400 ms

  Scenario: a server of the same data centre is preferred until it is much busier
    Given idle servers "a, b, c"
    And server "b" is the only one in data centre "here"
    Then 20 questions sent from "here" go to "b"
    And prompts of 30 subjects sent from "here" all go to "b"
    When server "b" has 8 requests running and 5 waiting
    Then a question sent from "here" goes to another server

  # Guards against a server of many slots being taken for full while several of its slots are coming
  # free, and against a queue in a server of few slots in which a request waits for long.
  Scenario Outline: a server takes some requests beyond its slots, the more slots the more
    Given idle servers "a"
    When server "a" has <slots> slots and as many requests in flight
    Then it takes <more> requests more

    Examples:
      | slots | more |
      | 1     | 4    |
      | 6     | 4    |
      | 12    | 4    |
      | 32    | 5    |
      | 48    | 8    |
      | 64    | 10   |

  Scenario: a baseline of failures drives no request to another region
    # One request in seven fails on any server. Counted as the server's fault, these failures
    # sent a third of all requests to another region, at the cost of the round trip.
    Given idle servers "a"
    When one in 7 of 200 requests fails at server "a", drawn at random
    Then at most 1 in 10 of them had an expected wait over 150 ms at "a"

  Scenario Outline: the first-byte timeout of a request
    Then a "<repeat>" request, resumable "<resumable>", with <left> attempts left and <expected> ms expected has timeout <timeout>

    Examples:
      | repeat     | resumable | left | expected | timeout |
      | idempotent | no        | 1    | 0        | 600     |
      | idempotent | no        | 0    | 0        | None    |
      | once       | no        | 1    | 0        | None    |
      | stream     | no        | 1    | 0        | None    |
      | stream     | yes       | 1    | 0        | 720     |
      | stream     | yes       | 1    | 500      | 1400    |
      | stream     | yes       | 0    | 0        | None    |

  # Guards against a full region that refuses everything beside free slots: a server says that it is
  # full in its last response before its requests end, and says nothing more since it gets none.
  Scenario: a server that said it was full has room as soon as its requests end
    Given idle servers "a"
    When server "a" runs 12 requests of this VM and says that 12 are there
    Then server "a" has no room
    When 6 of them end at server "a"
    Then server "a" has room

  Scenario: what a server runs beside the known requests counts on while that is news
    Given idle servers "a"
    When server "a" runs 2 requests of this VM and says that 12 are there
    And 2 of them end at server "a"
    Then server "a" counts 10 requests now and 0 after 1600 ms

  # Guards against free slots that nobody uses: each of a region's VMs hears from a server how many
  # requests are there before it hears from the other VMs that these are theirs.
  Scenario: requests that become known by reports are not counted twice
    Given idle servers "a"
    When server "a" runs 2 requests of this VM and says that 12 are there
    And other VMs report 10 requests at server "a"
    Then server "a" counts 12 requests now and 12 after 1600 ms
