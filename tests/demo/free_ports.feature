Feature: ports for servers that name them

  # Guards against a daemon that ends with "Address already in use" while another run restarts its own.
  Scenario: no two processes get the same port, also while nothing listens there
    When this process asks for 3 free ports
    And another process asks for 3 free ports from the same start
    Then all of them differ
