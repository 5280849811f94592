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
