Feature: the daemon as a separate process and the operator's commands

  Scenario: a daemon process is configured, serves, and shuts down gracefully
    # The daemon is a child process that caller and operator reach only over TCP. It gets
    # SIGTERM during a stream, finishes the stream and exits with code 0.
    Given a platform stand-in, an engine and a daemon process
    When the command "ticket submit first.json" is run
    Then the command exits with 0 and prints "ticket 1 is accepted at position 1"
    When the command "key make small --json" is run
    Then the command exits with 0 and prints "hb-"
    And a streamed chat call with that key to the daemon gets a complete response
    When the command "ticket list" is run
    Then the command exits with 0 and prints "first state"
    When the command "ticket show 1" is run
    Then the command exits with 0 and prints "small"
    When the command "ticket diff 1 2" is run
    Then the command exits with 0 and prints "+ keys"
    When the command "status" is run
    Then the command exits with 0 and prints "position: 2"
    When that key is revoked by command
    Then a streamed chat call with that key to the daemon is refused with "key_withdrawn"
    And the daemon finishes a running stream after SIGTERM and exits with 0

  Scenario Outline: exit codes distinguish success, refusals, invalid input and unreachable VMs
    Given a platform stand-in, an engine and a daemon process
    When the command "<command>" is run
    Then the command exits with <code> and prints "<text>"

    Examples:
      | command                             | code | text                             |
      | check first.json                    | 2    | vm: expected an object           |
      | ticket submit wrong.json            | 2    | accounts[0].rate                 |
      | ticket submit dangling.json         | 1    | ticket_invalid                   |
      | ticket show 99                      | 2    | no accepted ticket               |
      | status --url=http://127.0.0.1:1     | 3    | ConnectError                     |
      | kinds                               | 0    | rate_limited                     |
      | effective vm.json                   | 0    | "read_back_ms": 2000             |
