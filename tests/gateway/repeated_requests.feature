Feature: a request under which three servers have ended reaches no more

  # Guards against repeats that nobody recognises, as each has a new id and plain services aren't followed.
  Scenario Outline: a VM tells under which requests servers ended, alike for repeats
    Given a gateway of VMs "n1@north-1"
    And <kind> servers "<servers>"
    And servers crash before the head under body "{'n': 'bad'}"
    When that request is sent 2 times to "n1" on route "<route>"
    Then the ends that "n1" tells have one request key in common

    Examples:
      | kind  | servers                | route |
      | model | m1@north-1, m2@north-1 | chat  |
      | plain | b1@north-1, b2@north-1 | order |

  # Guards against a query of death that its caller repeats, under a new id each time.
  @known_red
  Scenario Outline: repeats one after the other end three servers
    Given a gateway of VMs "<vms>"
    And <kind> servers "<servers>"
    And servers crash <point> under body "{'n': 'bad'}"
    When that request is repeated at "<asked>" on route "<route>" for 5 s, beside sound ones
    Then it reached no server after three had ended under it
    And its last repeats were refused at once as "request_blocked"
    And the sound requests of the last 2 s were answered

    Examples: prompts
      | vms                                | kind  | servers                                                        | asked      | route | point                |
      | n1@north-1                         | model | m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1     | n1         | chat  | inside an event      |
      | n1@north-1, n2@north-1, n3@north-1 | model | m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1     | n1, n2, n3 | chat  | before the head      |
      | n1@north-1, n2@north-1, n3@north-1 | model | m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1     | n1, n2, n3 | chat  | at an unframed close |
      | n1@north-1, n2@north-1             | model | m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1     | n1, n2     | plan  | inside an event      |
      | n1@north-1, t1@north-2, s1@south-1 | model | m1@north-1, m2@north-2, m3@north-1, m8@south-1, m9@south-1     | n1, t1, s1 | plan  | inside an event      |
      | n1@north-1, n2@north-1, s1@south-1 | model | m5@south-1, m6@south-1, m7@south-1, m8@south-1, m9@south-1     | n1, n2     | chat  | before the head      |

    Examples: plain services
      | vms                                | kind  | servers                                                        | asked      | route | point                |
      | n1@north-1                         | plain | b1@north-1, b2@north-1, b3@north-1, b4@north-1, b5@north-1     | n1         | look  | before the head      |
      | n1@north-1, n2@north-1, n3@north-1 | plain | b1@north-1, b2@north-1, b3@north-1, b4@north-1, b5@north-1     | n1, n2, n3 | look  | inside an event      |
      | n1@north-1, n2@north-1             | plain | b1@north-1, b2@north-1, b3@north-1, b4@north-1, b5@north-1     | n1, n2     | look  | at an unframed close |
      | n1@north-1, n2@north-1             | plain | b1@north-1, b2@north-1, b3@north-1, b4@north-1, b5@north-1     | n1, n2     | order | before the head      |

  # Guards against a caller that sends several copies at once and often.
  @known_red
  Scenario Outline: copies that are sent at once stop once three servers have ended
    Given a gateway of VMs "n1@north-1, n2@north-1, n3@north-1"
    And <kind> servers "<servers>"
    And servers crash inside an event under body "{'n': 'bad'}"
    When that request is repeated by 2 copies at once at "n1, n2, n3" on route "<route>" for 5 s, beside sound ones
    Then its copies reached no server once it was known that three had ended under it
    And the sound requests of the last 2 s were answered

    Examples:
      | kind  | servers                                                                                | route |
      | model | m1@north-1, m2@north-1, m3@north-1, m4@north-1, m5@north-1, m6@north-1, m7@north-1     | chat  |
      | plain | b1@north-1, b2@north-1, b3@north-1, b4@north-1, b5@north-1, b6@north-1, b7@north-1     | look  |
