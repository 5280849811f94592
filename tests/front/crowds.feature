@alone
Feature: clients that don't behave don't end the older gateway's daemon either

  # Both gateways promise the same: memory and descriptors are bounded over all callers together.
  Scenario Outline: what a crowd sends is bounded, whatever it sends
    Given an older daemon with 128 MB of memory and 4096 file descriptors
    When <clients> clients with the key "<key>" come to it at once and each <does>
    Then an ordinary call is answered beside them
    And an ordinary call is answered after they left
    And the daemon lives and held no more than its memory

    Examples:
      | clients | key              | does                                               |
      | 120     | key-of-this-test | stops one byte short                               |
      | 120     | key-of-this-test | stops short in chunks of 64 KiB                    |
      | 10      | key-of-this-test | stops short in chunks of 3 bytes                   |
      | 200     | key-of-nobody    | stops one byte short                               |
      | 200     | key-of-this-test | sends a head of many small headers without its end |

  Scenario: connections that send nothing leave descriptors for others
    Given an older daemon with 300 MB of memory and 300 file descriptors
    When 400 clients with the key "key-of-this-test" come to it at once and each sends nothing
    Then an ordinary call is answered beside them
    And the daemon lives and used no more than 240 file descriptors

  # Another VM's port is found as well.
  Scenario: connections that send nothing at the port for other VMs
    Given an older daemon with 300 MB of memory and 300 file descriptors
    When 400 clients come to its port for other VMs and each sends nothing
    Then an ordinary call is answered beside them
    And the daemon lives and used no more than 240 file descriptors
