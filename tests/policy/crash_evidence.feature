Feature: which parts of prompts are blocked for the servers that crashed under them

  Scenario: three crashes under a part that nothing clears block it
    When servers crash under part "a" at "1000, 2000, 3000" ms
    Then part "a" is blocked

  Scenario: two do not
    When servers crash under part "a" at "1000, 2000" ms
    Then part "a" is not blocked

  # Guards against a popular part that is blamed for what it did not cause.
  Scenario Outline: a part under which a server goes on is cleared of what was before
    When servers crash under part "a" at "<before>" ms
    And a server outlives part "a" at <sound> ms
    And servers crash under part "a" at "<after>" ms
    Then part "a" is <verdict>

    Examples:
      | before                 | sound | after                    | verdict     |
      | 1000, 2000             | 2500  | 6000                     | not blocked |
      | 1000, 2000, 3000       | 3500  | 9000                     | not blocked |
      | 1000, 2000, 3000, 4000 | 4500  | 9000, 9500               | not blocked |
      | 1000, 2000             | 2500  | 6000, 7000, 8000         | blocked     |

  # Guards against a part that was sound a moment ago being taken for the cause.
  Scenario: a part that was sound shortly before a crash is no suspect
    When a server outlives part "a" at 900 ms
    And servers crash under part "a" at "1000, 1500, 2000, 2800" ms
    Then part "a" is not blocked

  # Guards against power or a network being taken for three crashes.
  Scenario: crashes at the same moment count once
    When servers crash under part "a" at "1000, 1010, 1050, 1100, 1150, 2000" ms
    Then part "a" is not blocked
    When servers crash under part "a" at "3000" ms
    Then part "a" is blocked

  Scenario: so many crashes at the same moment leave room for later ones
    When servers crash under part "a" at "1000, 1010, 1020, 1030, 1040, 1050, 1060, 1070, 1080, 1090" ms
    And servers crash under part "a" at "2000, 3000" ms
    Then part "a" is blocked

  Scenario Outline: repeats of one request count for less
    When servers crash under part "a" of one request at "<times>" ms
    Then part "a" is <verdict>

    Examples:
      | times                  | verdict     |
      | 1000, 2000, 3000       | not blocked |
      | 1000, 2000, 3000, 4000 | blocked     |

  # Guards against sound parts that were open at servers which a blocked part crashes.
  Scenario: a blocked part explains the crashes under it
    When servers crash under part "a" at "1000, 2000, 3000" ms
    And servers crash under parts "a, b" at "4000, 5000, 6000, 7000" ms
    Then part "a" is blocked
    And part "b" is not blocked
    And part "b" is a suspect of 0 crashes

  # Guards against a sound part that is refused since it came with one that crashes servers.
  Scenario: parts that only came together can't be told apart
    When servers crash under parts "a, b" at "1000, 2000, 3000" ms
    Then a prompt of parts "a, b" is refused
    And a prompt of parts "a" is undecided
    And a prompt of parts "b, c" is undecided
    And a prompt of parts "c" is let through

  Scenario: a prompt with one of them tells that it was that one
    When servers crash under parts "a, b" at "1000, 2000, 3000" ms
    And servers crash under part "a" at "4000" ms
    Then a prompt of parts "a" is refused
    And a prompt of parts "a, b" is refused
    And a prompt of parts "b" is let through

  Scenario: a prompt with one of them tells that it was another one
    When servers crash under parts "a, b" at "1000, 2000, 3000" ms
    And a server outlives part "a" at 4000 ms
    Then a prompt of parts "a" is let through
    And a prompt of parts "b" is refused

  Scenario: two parts are found at once
    When servers crash under part "a" at "1000, 2000" ms
    And servers crash under part "b" at "1300, 2300" ms
    And servers crash under part "a" at "3000" ms
    And servers crash under part "b" at "3300" ms
    Then part "a" is blocked
    And part "b" is blocked

  # Guards against knowledge that counts for each VM alone.
  Scenario: crashes that several VMs saw add up
    When "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n2" sees a crash of "m2" under part "a" at 2000 ms
    And "n3" sees a crash of "m3" under part "a" at 3000 ms
    And the VMs tell each other at 3100 ms
    Then part "a" is blocked at "n1, n2, n3"

  Scenario: a crash that several VMs saw counts once
    When "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n2" sees a crash of "m1" under part "a" at 1300 ms
    And "n3" sees a crash of "m1" under part "a" at 1600 ms
    And the VMs tell each other at 1700 ms
    Then part "a" is not blocked at "n1, n2, n3"

  # Guards against a VM that has heard of less and goes on sending.
  Scenario: a conclusion is told with its crashes
    When servers crash under part "a" at "1000, 2000, 3000" ms
    And the VMs tell each other at 3100 ms
    Then part "a" is blocked at "n1, n2, n3"

  # Guards against VMs that date the same crashes differently, so that some go on sending.
  Scenario: a conclusion holds at a VM to which the crashes are not apart
    When "n2" sees a crash of "m1" under part "a" at 1150 ms
    And "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n1" sees a crash of "m2" under part "a" at 1200 ms
    And "n1" sees a crash of "m3" under part "a" at 1400 ms
    And the VMs tell each other at 1500 ms
    Then part "a" is blocked at "n1, n2, n3"

  Scenario Outline: what one VM clears is cleared everywhere, whatever is told again
    When "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n1" sees a crash of "m2" under part "a" at 2000 ms
    And "n1" sees a crash of "m3" under part "a" at 3000 ms
    And the VMs tell each other at 3100 ms
    And "<vm>" sees a server outlive part "a" at 3500 ms
    And the VMs tell each other at 3600 ms
    And the VMs tell each other at 3700 ms
    Then part "a" is not blocked at "n1, n2, n3"

    Examples:
      | vm |
      | n1 |
      | n3 |

  # Guards against what a VM clears before it hears of the crash.
  Scenario: a VM that saw the part sound after a crash clears it when it hears of the crash
    When "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n2" sees a server outlive part "a" at 1500 ms
    And "n1" sees a crash of "m2" under part "a" at 2000 ms
    And "n1" sees a crash of "m3" under part "a" at 2500 ms
    And "n2" sees a server outlive part "a" at 2800 ms
    And the VMs tell each other at 2900 ms
    And the VMs tell each other at 3000 ms
    Then part "a" is not blocked at "n1, n2, n3"

  Scenario: what was told again and again changes nothing
    When "n1" sees a crash of "m1" under part "a" at 1000 ms
    And "n1" sees a crash of "m2" under part "a" at 2000 ms
    And the VMs tell each other 20 times from 2100 ms on
    Then part "a" is not blocked at "n1, n2, n3"
    And each VM knows 2 crashes under part "a"

  # Guards against tables that grow with parts and crashes.
  Scenario: the table is bounded, and blocked parts stay
    When servers crash under part "a" at "1000, 2000, 3000" ms
    And 5000 further parts are suspected of a crash each
    Then part "a" is blocked
    And at most 1024 parts are known

  Scenario: evidence ends after its time, a blocked part after a longer one
    When servers crash under part "a" at "1000, 2000, 3000" ms
    And servers crash under part "b" at "1000, 2000" ms
    And servers crash under part "c" at "4000000" ms
    Then part "a" is blocked
    When servers crash under part "b" at "4001000" ms
    Then part "b" is not blocked
    When servers crash under part "c" at "90000000" ms
    Then part "a" is not blocked

  # Guards against a trial each time that a crash isn't noticed.
  Scenario: an undecided part is tried a few times, later each time
    When an undecided part may be tried at each second of 10 minutes
    Then it is tried at "0, 2, 10" s

  Scenario Outline: a trial is due after a while, and few are in all
    When a blocked part had <trials> trials and the last crash was at 1000 ms
    Then its next trial is due at <due>

    Examples:
      | trials | due    |
      | 0      | 61000  |
      | 1      | 481000 |
      | 2      | never  |

  # Guards against a request that is told of by others and not recognised when it comes.
  Scenario: a request that another VM blocked is recognised
    When "n1" sees servers crash under request "bad" at "0, 50, 100" ms, sent after each other
    And the VMs tell each other at 200 ms
    Then request "bad" is blocked at "n1, n2, n3"

  Scenario Outline: crashes under a request count <how>
    When "n1" sees servers crash under request "bad" at "<times>" ms, <sent>
    Then request "bad" is <verdict> at "n1"

    Examples:
      | how                                    | times       | sent                      | verdict     |
      | if it was sent after the first one     | 0, 50, 100  | sent after each other     | blocked     |
      | once if it was sent before             | 0, 50, 100  | sent at -10 ms            | not blocked |
      | once at one moment                     | 0, 10, 20   | sent after each other     | not blocked |
      | by themselves when they are far apart  | 0, 300, 600 | sent at -10 ms            | blocked     |
      | only if there are three                | 0, 300      | sent after each other     | not blocked |
      | if copies were sent at once after it   | 0, 90, 95   | sent after the first one  | blocked     |

  # Guards against a loss of power that counts once for each server at which a popular request was.
  Scenario Outline: crashes under a request that servers answer count <how>
    When "n1" sees servers crash under answered request "bad" at "<times>" ms, <sent>
    Then request "bad" is <verdict> at "n1"

    Examples:
      | how                                        | times               | sent                  | verdict     |
      | once at one moment, though after the first | 0, 1000, 1050, 1090 | sent at 900 ms        | not blocked |
      | once if they were sent before              | 0, 50, 100          | sent at -10 ms        | not blocked |
      | if each was sent after the one before      | 0, 50, 100          | sent after each other | blocked     |
      | by themselves when they are far apart      | 0, 300, 600         | sent at -10 ms        | blocked     |

  # Guards against times that reach other VMs late, so that a crash seems to follow from another one.
  Scenario: crashes of one moment that two VMs saw under a request that servers answer count once
    When "n1" sees servers crash under answered request "bad" at "0, 1000" ms, sent at -10 ms
    And "n2" sees servers crash under answered request "bad" at "0, 1000" ms, sent at -10 ms
    And the VMs tell each other at 1100 ms, 60 ms late
    Then request "bad" is not blocked at "n1"

  # Guards against a copy sent long before that hides the one sent after the first crash.
  Scenario: of the copies at one server the last sent counts
    When servers crash at "0, 50, 100" ms under copies of request "bad" sent 5 and 500 ms before
    Then request "bad" is blocked at "n1"

  # Guards against a sound request that is refused for what others did.
  Scenario Outline: whole responses <how> clear a request of the crashes before them
    When "n1" sees servers crash under request "bad" at "0, 300" ms, sent after each other
    And <servers> servers answer request "bad" <times> times each at 400 ms
    And "n1" sees servers crash under request "bad" at "600, 900" ms, sent after each other
    Then request "bad" is <verdict> at "n1"

    Examples:
      | how                            | servers | times | verdict     |
      | of eight servers               | 8       | 1     | not blocked |
      | of two servers, four each      | 2       | 4     | not blocked |
      | of seven servers do not        | 7       | 1     | blocked     |
      | fifteen of one server do not   | 1       | 15    | blocked     |
      | sixteen of one server          | 1       | 16    | not blocked |

  # Guards against one sound answer that wipes all ends.
  Scenario: whole responses between its crashes do not hide a request that few servers bear
    When "n1" sees servers crash under request "bad" at "0" ms, sent after each other
    And 3 servers answer request "bad" 1 times each at 100 ms
    And "n1" sees servers crash under request "bad" at "300" ms, sent after each other
    And 3 servers answer request "bad" 1 times each at 400 ms
    And "n1" sees servers crash under request "bad" at "600" ms, sent after each other
    Then request "bad" is blocked at "n1"

  # Guards against a popular request that is open at each server which another request ends.
  Scenario: a request that servers answer is not blocked for the ends of one that they never do
    When servers crash under requests "popular" and "bad" at "0" ms
    And 1 servers answer request "popular" 3 times each at 100 ms
    And servers crash under requests "popular" and "bad" at "300" ms
    And 1 servers answer request "popular" 3 times each at 400 ms
    And servers crash under requests "popular" and "bad" at "600" ms
    Then request "bad" is blocked at "n1"
    And request "popular" is not blocked at "n1"
    And nothing else is recorded as blocked

  Scenario: what servers answer once it is blocked was sent before, and a trial that is answered lifts it
    When "n1" sees servers crash under request "bad" at "0, 300, 600" ms, sent after each other
    And 8 servers answer request "bad" 1 times each at 700 ms
    Then request "bad" is blocked at "n1"
    When a trial of request "bad" is answered at 700000 ms
    Then request "bad" is not blocked at "n1"

  # Guards against a network that is cut, taken for servers that fall silent one after the other.
  Scenario Outline: servers that fall silent count <how>
    When "n1" finds servers silent under request "bad" at "<known>" ms, last heard at "<heard>" ms
    And their entries lapse at 9000 ms
    Then request "bad" is <verdict> at "n1"

    Examples:
      | how                                     | known            | heard          | verdict     |
      | if each was heard after the first       | 500, 900, 1300   | 0, 600, 1000   | blocked     |
      | once if all were heard before it        | 500, 1900, 3300  | 0, 100, 400    | not blocked |
      | only with those heard after it          | 500, 900, 1300   | 0, 400, 600    | not blocked |

  Scenario: a request that seems to have ended three servers is held until that is known
    When "n1" finds servers silent under request "bad" at "500, 900" ms, last heard at "0, 600" ms
    Then request "bad" is not held at 1000 ms
    When "n1" finds servers silent under request "bad" at "1300" ms, last heard at "1000" ms
    Then request "bad" is held at 1400 ms
    And request "bad" is not blocked at "n1"
    And request "bad" is not held at 9000 ms

  # Guards against a lookup that many send and that a cut of some servers would hold everywhere.
  Scenario: a request that servers answer meanwhile is not held
    When "n1" finds servers silent under request "bad" at "500, 900, 1300" ms, last heard at "0, 600, 1000" ms
    And 1 servers answer request "bad" 1 times each at 1350 ms
    Then request "bad" is not held at 1400 ms

  # Guards against ends that a cut only seemed to be.
  Scenario: servers that come back as they were have not ended
    When "n1" finds servers silent under request "bad" at "500, 900, 1300" ms, last heard at "0, 600, 1000" ms
    And their entries lapse at 9000 ms
    Then request "bad" is blocked at "n1"
    When they are back as they were at 12000 ms
    Then request "bad" is not blocked at "n1"

  # Guards against an end that is hidden, as the server had seemed to end before and had not.
  Scenario: a server that was only slow counts when it ends later
    When "n1" sees servers crash under request "bad" at "0, 300" ms, sent after each other
    And "n1" finds servers silent under request "bad" at "600" ms, last heard at "550" ms
    And they are back as they were at 700 ms
    And the same server crashes under request "bad" at 900 ms
    Then request "bad" is blocked at "n1"

  Scenario: copies sent at once count each if nothing else ended with their servers
    When servers crash at "0, 5, 9" ms under copies of request "bad" sent at -10 ms, and nothing else ends
    Then request "bad" is blocked at "n1"

  # Guards against the parts of a request that are refused with it.
  Scenario: a request that is blocked explains the crashes under its parts
    When servers crash under request "bad" and parts "p" of others at "0, 300, 600" ms
    Then request "bad" is blocked at "n1"
    And part "p" is not blocked
    And nothing else is recorded as blocked

  # Guards against a part that crashes servers and hides behind repeats of single requests.
  Scenario: two requests that are blocked do not explain the crashes under their part
    When servers crash under request "bad" and parts "p" of others at "0, 300, 600" ms
    And servers crash under request "worse" and parts "p" of others at "900, 1200" ms
    Then part "p" is blocked

  Scenario: many requests that one crash took with it push none out that is nearly blocked
    When "n1" sees servers crash under request "bad" at "0, 300" ms, sent after each other
    And 3000 further requests are suspected of a crash
    And "n1" sees servers crash under request "bad" at "900" ms, sent after each other
    Then request "bad" is blocked at "n1"
    And at most 1024 requests are suspected

  Scenario: the first trial of a blocked request comes later than that of a part
    When a blocked request had 0 trials and the last crash was at 1000 ms
    Then its next trial is due at 601000
