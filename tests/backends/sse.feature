Feature: an event stream is split into events so that each token is delivered once

  Scenario: any split into reads and any interruptions give the same events
    # The bytes of a stream arrive split anywhere, and the connection breaks anywhere; after each
    # break the stream resumes from the position reached, or one token too early. The caller must
    # get every event once, in order, and the usage must be found.
    Then an event stream that is split and interrupted anywhere yields each event once

  Scenario Outline: an incomplete or malformed stream is not taken for a complete one
    Then an event stream "<what>" at the reader gives "<outcome>"

    Examples:
      | what                  | outcome |
      | without its end mark  | open    |
      | ended twice           | done    |
      | with carriage returns | done    |
      | with comments         | done    |
      | with carriage returns alone | done |
      | with carriage returns, byte by byte | done |
      | with a comment after its end | done |
      | a gap after a resume | error   |
      | an endless event      | error   |
      | usage not JSON        | error   |
