Feature: what is known of parts that crash servers lasts, and blames none that is sound

  # Guards against knowledge that ends with the VM that has it.
  Scenario: crashes that a VM saw count after its end
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    When 2 prompts with part "dead" come to "n1"
    And VM "n1" crashes
    And prompts with part "dead" come to "n2" for 4 s, and sound ones beside them
    Then at most 3 requests with part "dead" reached servers after the fifth crash

  # Guards against a VM that starts while nothing of the block is in the store.
  Scenario: a part that was found while the store is away is told to VMs that start
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1, m6@north-1, m7@north-1, m8@north-1"
    And model servers crash inside an event under part "dead"
    When the store answers nothing any more
    And prompts with part "dead" come to "n1, n2" for 3 s, and sound ones beside them
    And VM "n3" starts
    And 1.5 s pass
    And 4 prompts with part "dead" come to "n3"
    Then "n3" has refused prompts as "part_blocked"

  # Guards against VMs that learn of each other's crashes late.
  Scenario: crashes that each VM saw one of add up at once
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1, n4@north-1, n5@north-1, n6@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1, m6@north-1"
    And model servers crash inside an event under part "dead"
    When prompts with part "dead" come to "n1, n2, n3, n4, n5, n6" for 3 s, and sound ones beside them
    Then at most 4 requests with part "dead" reached servers

  # Guards against a VM that asks one region after the other, as it has not heard of the block.
  Scenario: a VM that hears of no block refuses what another region's VM has blocked
    Given a gateway of VMs "n1@north-1, s1@south-1"
    And model servers "m7@south-1, m8@south-1, m9@south-1"
    And model servers crash inside an event under part "dead"
    And VM "n1" hears of no crashes
    When prompts with part "dead" come to "n1" for 4 s, and sound ones beside them
    Then "n1" has refused prompts as "part_blocked"

  Scenario Outline: a part that is known stays blocked at VMs that start later
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    When prompts with part "dead" come to "n1, n2" for 4 s, and sound ones beside them
    And <event>
    And 1.5 s pass
    And VM "n3" starts
    And 4 prompts with part "dead" come to "n3"
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And the last prompts with part "dead" were refused at once as "part_blocked"

    Examples:
      | event                                |
      | nothing is sent for 1 s              |
      | the store answers nothing any more   |
      | VMs "n1, n2" crash                   |

  # Guards against parts that came with the one that crashes servers, and are refused with it.
  Scenario: sound prompts with the same first part are served though none came beside the others
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    When 8 prompts with part "dead" come to "n1"
    And sound prompts come to "n1, n2" for 3 s
    Then at most 3 requests with part "dead" reached servers after the fifth crash
    And the sound prompts of the last 1 s were answered

  # Guards against sound prompts of which several parts came with the one that crashes servers.
  Scenario: sound prompts with two of three parts that only came together are served
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    When 5 prompts with part "aa, dead" come to "n1"
    And 4 prompts of parts "5c1e, aa" are sent to "n1"
    Then the last prompt was answered

  # Guards against a popular part that is blamed for what it did not cause.
  Scenario Outline: servers that end <how> block no part, however popular
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    When sound prompts come to "n1, n2" for 6 s while servers end <how>
    Then no prompt was refused as "part_blocked"
    And the sound prompts of the last 2 s were answered

    Examples:
      | how               |
      | all at once       |
      | one by one        |
      | after they leave  |

  # Guards against a release that is taken for crashes.
  Scenario: a server that ends after it said that it is leaving makes no part a suspect
    Given a gateway of VMs "n1@north-1"
    And model servers "m1@north-1"
    And model servers stream for 1.2 s
    When a prompt of parts "5c1e, 91bd" runs at "n1" while "m1" leaves and ends
    Then "n1" suspects no part

  # Guards against a block that nothing can ever lift, since all requests with the part are refused.
  Scenario: a part that no longer crashes servers is served again after one trial
    Given a gateway of VMs "n1@north-1, n2@north-1, s1@south-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    And the first trial of a part is due 2 s after its last crash
    When prompts with part "dead" come to "n1, n2" for 2 s, and sound ones beside them
    And model servers no longer crash
    And prompts with part "dead" come to "n1, n2" for 4 s, and sound ones beside them
    Then the last 3 prompts with part "dead" were answered
    And no VM has blocked a part
    And the store holds no record of a blocked part

  Scenario: trials of a part that still crashes servers cost two of them in all
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    And the first trial of a part is due 0.2 s after its last crash
    When prompts with part "dead" come to "n1, n2" for 7 s, and sound ones beside them
    Then at most 6 requests with part "dead" reached servers
    And the sound prompts of the last 2 s were answered

  Scenario: an operator lifts a block by deleting its record
    Given a gateway of VMs "n1@north-1, n2@north-1"
    And model servers "m1@north-1, m2@north-1, m3@north-1, m4@north-1"
    And model servers crash inside an event under part "dead"
    When prompts with part "dead" come to "n1, n2" for 2 s, and sound ones beside them
    And model servers no longer crash
    And the records of blocked parts are deleted
    And 4 prompts with part "dead" come to "n2"
    Then the last 3 prompts with part "dead" were answered
    And no VM has blocked a part
