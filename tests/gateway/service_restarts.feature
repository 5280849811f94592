Feature: a service that failed once is started again and does its work

  # Guards against a service that can't start again as another one uses what it had bound, so that
  # its VM drops out of the fleet until the process ends.
  Scenario Outline: a service whose task fails once goes on after one start
    Given a small gateway of VMs "n1, n2" before servers "b1:books, b2:books, m1:model"
    When a task of service "<service>" of "n1" fails once
    Then service "<service>" of "n1" was started again once, and runs 3 s later
    And VMs "n1, n2" hear 2 live VMs
    When server "b1" drains, and the key of "large" is withdrawn
    Then 1 s later no request of 1 for "/look/x" reaches "b1", and all are answered
    And a caller of "large" gets 401

    Examples:
      | service     |
      | feed        |
      | fleet       |
      | cold_asking |
      | part_blocks |
      | relay       |

  # Guards against an error that names no port where the settings name five.
  Scenario Outline: a VM whose port another process has ends, and says which port
    Given another process listens on a port of a VM's settings, as <side>
    When the VM starts with that port for <use>
    Then it ends with an error that names the address

    Examples:
      | side | use       |
      | TCP  | callers   |
      | TCP  | ready     |
      | TCP  | directory |
      | TCP  | state     |
      | TCP  | peers     |
      | UDP  | peers     |
