Feature: where events end in a stream, however its bytes are cut

  Scenario: a stream cut at random is followed like the whole one
    Given 4000 random streams of lines that end with LF, CR LF or CR, seed 7
    When each is scanned in random pieces
    Then each is inside an event exactly where a reference parser of whole streams is
    And the bytes before an unfinished event are those that the reference parser tells
