Feature: a service is overloaded while its requests stand in line, not when many come at once

  Scenario Outline: overload is a standing delay
    When requests that waited <share> of what they bear come each 10 ms for <ms> ms
    Then the delay counts as <state>

    Examples:
      | share | ms   | state    |
      | 0.9   | 600  | overload |
      | 1.0   | 600  | overload |
      | 0.1   | 5000 | none     |
      | 0.9   | 150  | none     |

  Scenario: one request that is served promptly ends the delay before it is an overload
    When requests that waited 0.9 of what they bear come each 10 ms for 200 ms
    And one that waited 0.0 comes
    And requests that waited 0.9 of what they bear come each 10 ms for 200 ms
    Then the delay counts as none

  Scenario: urgent requests that are served at once don't hide the delay of the others
    When requests that waited 0.9 of what they bear come each 10 ms for 600 ms, beside urgent ones that waited 0.0
    Then the delay counts as overload

  # Guards against an order that changes to and fro with each moment of rest.
  Scenario: an overload ends only when no request has waited for long for a while
    When requests that waited 0.9 of what they bear come each 10 ms for 600 ms
    And requests that waited 0.0 of what they bear come each 10 ms for 1000 ms
    Then the delay counts as overload
    When requests that waited 0.0 of what they bear come each 10 ms for 1000 ms
    Then the delay counts as none

  Scenario: a service that nobody asks any more is not overloaded
    When requests that waited 0.9 of what they bear come each 10 ms for 600 ms
    And nothing comes for 2000 ms
    Then the delay counts as none
