Feature: a request that a VM of another region runs goes on elsewhere only once its run there has ended

  # Guards against a failed link that is taken for the end of a run: both runs went on for seconds.
  Scenario Outline: a stream goes on at a server of its own region
    Given two regions whose streams begin in the south, linked by what can be harmed
    When a stream runs in the south, a server starts in the north and the links <harm>
    Then no two runs of it overlap by more than 400 ms
    And its caller gets <answer> after <runs>

    Examples:
      | harm                                   | answer             | runs |
      | forget their connections               | the whole stream   | 2    |
      | reset their connections                | the whole stream   | 2    |
      | fall silent                            | no further event   | 1    |
      | fall silent towards the south          | the whole stream   | 1    |
      | fall silent towards the north          | no further event   | 1    |
      | fall silent for 300 ms                 | the whole stream   | 1 or 2 |

  # Guards against a VM that answers for a run at a server which it can't reach, and which works on.
  Scenario: a stream doesn't go on while its server in the other region can't be reached
    Given two regions whose streams begin in the south, linked by what can be harmed
    When a stream runs in the south, a server starts in the north and the links cut its server off and reset their connections
    Then its caller gets no further event after 1

  # Guards against streams that are cut with a killed VM though their servers' reports show their end.
  Scenario Outline: a stream whose VM is killed goes on by the word of another VM of its region
    Given two regions whose streams begin in the south, where two VMs are
    And servers report <what>
    When a stream has begun in the south, a server starts in the north, and its VM is killed while its server <does>
    Then no two runs of it overlap by more than 400 ms
    And its caller gets <answer> after <runs>

    Examples:
      | what                     | does            | answer           | runs |
      | what they ran 0 ms ago   | drops it        | the whole stream | 2    |
      | what they ran 450 ms ago | drops it        | the whole stream | 2    |
      | what they ran 450 ms ago | works on        | some events      | 1    |
      | no runs                  | drops it        | some events      | 1    |
      | nothing in time          | drops it        | some events      | 1    |

  # Guards against a VM that can't be heard, and may send its run elsewhere, but counts as killed.
  Scenario Outline: other VMs are asked of a run only if its VM closed the connection of its response
    Given a VM that asks others for runs
    When a stream breaks off that a VM of another region runs, <how>
    Then another VM of that region <is> asked of its run

    Examples:
      | how                        | is     |
      | as that VM closed it       | is     |
      | without a close from there | is not |

  # Guards against servers that all VMs of a region ask at once, as one of them was killed.
  Scenario: the same other VMs are asked of all runs of a VM
    Given a VM that asks others for runs
    When 6 streams break off that a VM of a region of 9 runs
    Then 2 other VMs of that region are asked of them

  # Guards against a report from before a server got the run, which had waited in a line.
  Scenario: a run counts as young for who is asked of it, however long ago its VM asked for it
    Given two regions whose streams begin in the south, linked by what can be harmed
    And servers report what they ran 450 ms ago
    When a run that the southern VM doesn't know has just begun there, and is cancelled
    Then it never says that the run has ended

  # Guards against the word of a VM that has started again, while its earlier process's server works on.
  Scenario Outline: a VM that doesn't know a run asks its servers before it says that it has ended
    Given two regions whose streams begin in the south, linked by what can be harmed
    And servers report <what>
    When a run that the southern VM doesn't know is cancelled there while its server <does>
    Then it <tells> that the run has ended

    Examples:
      | what                     | does     | tells      |
      | what they ran 450 ms ago | works on | never says |
      | what they ran 450 ms ago | drops it | says       |
      | no runs                  | drops it | says       |

  # Guards against the word of a VM that has started again and has not read yet which servers there are.
  Scenario Outline: a VM that knows neither a run nor servers for it does not say that it has ended
    Given two regions whose streams begin in the south, linked by what can be harmed
    And servers report what they ran 450 ms ago
    And the southern VM <knows> its servers
    When a run that the southern VM doesn't know is cancelled there while its server <does>
    Then it <tells> that the run has ended

    Examples:
      | knows             | does     | tells      |
      | does not yet know | works on | never says |
      | does not yet know | drops it | never says |
      | knows             | drops it | says       |

  # Guards against a run that goes on at a server which has closed its end.
  Scenario Outline: a VM tells of a run that it ends only what its server reports
    Given two regions whose streams begin in the south, linked by what can be harmed
    And servers report <what>
    When a run that the southern VM has is cancelled there while its server <does>
    Then it <tells> that the run has ended

    Examples:
      | what                     | does     | tells      |
      | what they ran 450 ms ago | works on | never says |
      | what they ran 450 ms ago | drops it | says       |

  # Guards against a cancel that ends the check of a run, whose end is told then without it.
  Scenario Outline: a cancel that comes while a VM settles a run with its server waits for what that tells
    Given two regions whose streams begin in the south, linked by what can be harmed
    And servers report what they ran 450 ms ago
    When the server of a run breaks it off and <does>, and the run is cancelled 100 ms later
    Then it <tells> that the run has ended

    Examples:
      | does     | tells      |
      | works on | never says |
      | drops it | says       |

  # Guards against a guess about another VM's run, made of what some servers tell.
  Scenario Outline: a VM speaks of another VM's run only if it has ended at each server that it knows
    Given a VM that other regions' VMs ask for runs
    When it is asked of another VM's run "a", and reports of its servers tell "<states>"
    Then it <tells> that run "a" has ended

    Examples:
      | states         | tells      |
      | ended          | says       |
      | ended ended    | says       |
      | ended running  | never says |
      | ended silent   | never says |
      | ended untold   | never says |
      |                | never says |

  # Guards against a response that is cut as its VM is asked to end the run while it is on its way.
  Scenario: a response that has begun is delivered, though it comes after the first-byte timeout
    Given two regions whose streams begin in the south, linked by what can be harmed
    And the way to the north takes 600 ms, and the first event of a stream 200 ms
    When a stream runs in the south, a server starts in the north and the links stay as they are
    Then its caller gets the whole stream after 1

  # Guards against lookups that wait for the word of a VM that is cut off: they may run twice.
  Scenario: a lookup goes on at once
    Given two regions whose lookups begin in the south, linked by what can be harmed
    When a lookup runs in the south, a server starts in the north and the links fall silent
    Then its caller gets its answer within 600 ms

  # Guards against callers that wait for a VM that is cut off until their deadline.
  Scenario: a request whose VM is cut off gets its final answer at once
    Given two regions whose streams begin in the south, linked by what can be harmed
    When a stream runs in the south, a server starts in the north and the links fall silent
    Then its caller has its answer within 2500 ms

  # Guards against a run that nobody ends once the VM that forwarded it can't be heard.
  Scenario: a VM that gets no acknowledgements ends the connections of other VMs
    Given a small gateway with a southern region
    When a VM connects to the peers' port of "s1"
    Then that connection ends at "s1" when it falls silent

  # Guards against a backend server's header that is believed as another VM's word: orders ran twice.
  Scenario Outline: what only VMs tell each other is not believed of a server
    Given a small gateway with a southern region
    And every server of "books" sends the header "hop-not-run" of value "<value>" with status <status>
    And servers of "books" are in <where>
    When 6 callers send an order to "n1"
    Then each order runs once
    And every answer has status <status> and no header of VMs

    Examples:
      | value     | status | where       |
      | rejected  | 200    | the north   |
      | rejected  | 200    | the south   |
      | not-asked | 500    | the north   |
      | not-asked | 500    | the south   |

  # Guards against a server's refusal, passed on by a VM, that lets an order run again.
  Scenario: a server's word that it did not run an order is not believed of a VM
    Given two regions whose orders wait in the south, linked by what can be harmed
    And the southern VM answers as a server that did not run them
    When 1 callers send an order to "n1"
    Then the answer promises nothing

  # Guards against a late answer to an earlier request that is taken for this one's refusal.
  Scenario: a refusal that names no request doesn't let it run again
    Given a small gateway with servers "b1:books, b2:books"
    And connections to every server have carried requests
    And every server of "books" has fault "late" once
    When 1 callers send an order to "n1"
    Then one server ran it
    And no answer promises that its order was not run

  # Guards against an order that fails though it never began, and against one that begins after all.
  Scenario: an order that waits in another region's line goes on elsewhere when its link breaks
    Given two regions whose orders wait in the south, linked by what can be harmed
    When an order waits in the south, a server starts in the north and the links reset their connections
    Then each order runs once
    And the order that waited was run in the north
    And the log tells that the first send was not run by the word of "s1"

  # Guards against a run that goes on for a caller that left, as the link carries no close.
  Scenario: a run ends when its caller has left, though the connection between the VMs is forgotten
    Given two regions whose streams begin in the south, linked by what can be harmed
    When the caller of a stream that runs in the south leaves after the links forget their connections
    Then the run has ended within 400 ms

  Scenario: a run that never began is told so
    Given a VM that other regions' VMs ask for runs
    When a run "a" waits there and is cancelled
    Then its VM is told that "a" has ended and never began

  # Guards against an answer before the connection to the server is closed.
  Scenario: a cancel is answered once the run has ended
    Given a VM that other regions' VMs ask for runs
    When a run "a" is at a server and is cancelled
    Then nothing is told before it has ended
    And its VM is told that "a" has ended and may have begun

  # Guards against a run whose server has told its end, and of which a silent server is asked as well.
  Scenario: a run that its server broke off is told of without asking other servers
    Given a VM that other regions' VMs ask for runs
    When a run "a" is broken off by its server, and is cancelled after that
    Then its VM is told that "a" has ended and may have begun

  # Guards against a request that is read after its cancel: late, or by a process that was paused.
  Scenario: a request that arrives after its cancel is not run
    Given a VM that other regions' VMs ask for runs
    When a run "a" is cancelled before it arrives
    Then its VM is told that "a" has ended and may have begun
    And "a" is not run when it arrives after 59000 ms

  # Guards against names that are kept without end, and against a guarantee that is forgotten.
  Scenario: a cancel that can't be kept is not answered
    Given a VM that other regions' VMs ask for runs
    When 8192 runs are cancelled before they arrive
    And a run "a" is cancelled before it arrives
    Then its VM is told nothing of "a"
    And after 60000 ms it is told again

  Scenario: cancels are repeated until they are answered, and for a while only
    Given a VM that asks others for runs
    When it settles a run that is answered after 3 cancels
    Then it has the other VM's word
    When it settles a run that is never answered
    Then it has no word after 1000 ms, and keeps nothing of the run
