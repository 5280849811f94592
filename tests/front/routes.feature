Feature: routes that a ticket configures lead to plain services

  Background:
    Given a front rig

  Scenario Outline: the longest prefix of the host decides, and its terms go before the service's
    When the front gets "<method>" "<path>" on host "<host>"
    Then the call goes to service "bookings" with path "<path>"
    And the call may be repeated: <repeated>
    And the call has at most <ms> ms

    Examples:
      | method | host              | path             | repeated | ms    |
      | GET    | shop.example      | /wheels?day=1    | yes      | 3000  |
      | POST   | shop.example      | /wheels          | no       | 3000  |
      | POST   | SHOP.example:8080 | /look/wheels/1   | yes      | 700   |
      | DELETE | shop.example      | /look/           | yes      | 700   |

  Scenario Outline: what no route leads anywhere is refused as not run
    When the front gets "<method>" "<path>" on host "<host>"
    Then the front answers <status> with code "<code>" and ran "no"

    Examples:
      | method | host          | path              | status | code               |
      | GET    | other.example | /wheels           | 404    | route_unknown      |
      | GET    | shop.example  | /none/x           | 404    | service_unknown    |
      | TRACE  | shop.example  | /wheels           | 405    | method_not_allowed |
      | GET    | shop.example  | /v1/state         | 403    | operator_only      |

  Scenario: a route that a later ticket takes back leads nowhere any more
    When the front gets "GET" "/look/wheels" on host "shop.example"
    Then the call may be repeated: yes
    When the routes are taken back
    And the front gets "GET" "/look/wheels" on host "shop.example"
    Then the front answers 404 with code "route_unknown" and ran "no"
