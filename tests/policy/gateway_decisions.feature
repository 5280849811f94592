Feature: routes, repeats, cold servers and the choice of a server

  Scenario Outline: the longest prefix of the host's routes takes a path
    Given routes for prefixes "/a/, /a/b/, /" of host "x" and "/z/" of host "y"
    Then host "<host>" and path "<path>" lead to "<route>"

    Examples:
      | host | path     | route |
      | x    | /a/b/c   | /a/b/ |
      | x    | /a/b     | /a/   |
      | x    | /a/      | /a/   |
      | x    | /ab/c    | /     |
      | y    | /z/1/2/3 | /z/   |
      | y    | /z       | none  |
      | w    | /a/      | none  |

  # What a caller sees: both VMs of the first home are being replaced, and the directory leads it to
  # a region that may not run its request, though the second home's VMs are there: another route of
  # the host is bound to the first home only.
  Scenario Outline: a host's homes are those of all its routes, of most routes first
    Given routes of one host bound to "<bound>"
    Then the host's homes are "<homes>"

    Examples:
      | bound                       | homes        |
      | north+south, north          | north, south |
      | north+south, south, -       | south, north |
      | north+south, north+south    | north, south |
      | north, south                | north, south |
      | -                           | none         |

  Scenario: a split route keeps its weights
    Given a route split 90 to "old" and 10 to "new"
    Then of 1000 even draws 900 go to "old" and 100 to "new"

  Scenario Outline: repeats stay within the fleet's budget while everything fails
    # Every request fails and asks for a repeat, at every VM. The sum over all VMs in any window
    # stays within the share of the requests and the allowance.
    Given a repeat budget of 0.2 and 58 in 10 s for <vms> VMs
    When each VM gets <rate> failing requests a second for 30 s
    Then every window of 10 s holds at most 0.2 of its requests and 58 repeats
    And at least <least> repeats were made in all

    Examples:
      | vms | rate | least |
      | 9   | 2    | 60    |
      | 9   | 30   | 800   |
      | 1   | 1    | 30    |

  Scenario Outline: a cold server gets at most what it bears from all VMs together
    # All VMs of its region see it come back idle, with requests waiting at each of them.
    Given a cold server that bears 2.6 a second and <vms> VMs before it
    When every VM sends whatever it may for 5 s
    Then in no second it gets more than 6.9 requests
    And in 5 s it gets at least 10

    Examples:
      | vms |
      | 2   |
      | 4   |
      | 40  |

  Scenario: prompts with the same shared part meet at one server, on every VM
    Given servers "a, b, c" that are idle
    Then 20 prompts of subject "s1" all go to one server, whichever VM asks
    And prompts of 60 subjects use every server

  Scenario: a busy home server gives way when waiting costs more than reading
    Given servers "a, b, c" that are idle
    When the home of subject "s1" has 40000 tokens to read
    Then a prompt of subject "s1" goes to another server

  Scenario: a server that fails half its requests gets few
    Given servers "a, b, c" that are idle
    When server "a" fails every other of its 24 last requests
    Then 20 questions without shared parts go to others than "a"

  Scenario: an unreachable server is left at once, longer each time, and taken back
    Given servers "a, b" that are idle
    When server "a" cannot be reached
    Then server "a" pauses for 400 ms
    When its pause is over and server "a" cannot be reached
    Then server "a" pauses for 800 ms
    When its pause is over and server "a" answers
    And server "a" cannot be reached
    Then server "a" pauses for 400 ms

  Scenario: a server of the same data centre is preferred until it is much busier
    Given servers "a, b, c" that are idle
    And server "b" is the only one in data centre "here"
    Then 20 questions asked in "here" go to "b"
    And prompts of 30 subjects asked in "here" all go to "b"
    When server "b" has 8 requests running and 5 waiting
    Then a question asked in "here" goes to another server

  Scenario: failures that requests have by themselves drive none to another region
    # One request in seven fails wherever it runs. Taken for the server's fault, a third of all
    # went to another region, at the price of the way.
    Given servers "a" that are idle
    When one in 7 of 200 requests fails at server "a", drawn at random
    Then at most 1 in 10 of these found a wait over 150 ms at "a"

  Scenario Outline: who waits how long for a first byte
    Then a "<repeat>" request, resumable "<resumable>", with <left> runs left and <foreseen> ms foreseen waits <patience>

    Examples:
      | repeat     | resumable | left | foreseen | patience |
      | idempotent | no        | 1    | 0        | 600      |
      | idempotent | no        | 0    | 0        | None     |
      | once       | no        | 1    | 0        | None     |
      | stream     | no        | 1    | 0        | None     |
      | stream     | yes       | 1    | 0        | 720      |
      | stream     | yes       | 1    | 500      | 1400     |
      | stream     | yes       | 0    | 0        | None     |
