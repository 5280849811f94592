Feature: routes from tickets lead to plain services

  Background:
    Given a front rig

  Scenario Outline: the longest matching prefix of the host wins, and its values override the service's
    When the front gets "<method>" "<path>" on host "<host>"
    Then the call goes to service "bookings" with path "<path>"
    And the call is idempotent: <idempotent>
    And the call's deadline is <ms> ms

    Examples:
      | method | host              | path             | idempotent | ms    |
      | GET    | shop.example      | /wheels?day=1    | yes        | 3000  |
      | POST   | shop.example      | /wheels          | no         | 3000  |
      | POST   | SHOP.example:8080 | /look/wheels/1   | yes        | 700   |
      | DELETE | shop.example      | /look/           | yes        | 700   |

  Scenario Outline: requests without a usable route are refused as not run
    When the front gets "<method>" "<path>" on host "<host>"
    Then the front responds with status <status>, code "<code>" and ran "no"

    Examples:
      | method | host          | path              | status | code               |
      | GET    | other.example | /wheels           | 404    | route_unknown      |
      | GET    | shop.example  | /none/x           | 404    | service_unknown    |
      | TRACE  | shop.example  | /wheels           | 405    | method_not_allowed |
      | GET    | shop.example  | /v1/state         | 403    | operator_only      |

  Scenario: a route that a later ticket deletes no longer matches
    When the front gets "GET" "/look/wheels" on host "shop.example"
    Then the call is idempotent: yes
    When the routes are deleted
    And the front gets "GET" "/look/wheels" on host "shop.example"
    Then the front responds with status 404, code "route_unknown" and ran "no"
