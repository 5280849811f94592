Feature: events are cut and joined so that each token comes once

  Scenario: any cut into reads and any breaks give the same events
    # The bytes of a stream arrive cut anywhere, and the connection breaks anywhere; after each
    # break the stream goes on from the position that was reached, or a token too early. The
    # caller must get every event once, in order, and the usage must be found.
    Then any cut and any breaks of an event stream give each event once

  Scenario Outline: what cannot be a whole stream is not taken for one
    Then an event stream "<what>" at the reader gives "<outcome>"

    Examples:
      | what                  | outcome |
      | without its end mark  | open    |
      | ended twice           | done    |
      | with carriage returns | done    |
      | with comments         | done    |
      | a hole after a resume | error   |
      | an endless event      | error   |
      | usage not JSON        | error   |
