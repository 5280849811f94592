Feature: events of a resumable stream are held back until they are whole

  Scenario Outline: whole events are passed on as they come, a part of one is held
    Given the splitter of a resumable stream
    When it gets "<first>"
    Then it passes on "<passed>", and the last event id is <id>
    When it gets "<second>"
    Then it passes on "<then>", and the last event id is <then id>

    Examples: in which \n and \r are line ends
      | first                     | passed                | id   | second            | then                  | then id |
      | id: 1\ndata: a\n\nid: 2   | id: 1\ndata: a\n\n    | 1    | \ndata: b\n\n     | id: 2\ndata: b\n\n    | 2       |
      | id: 1\r\ndata: a\r\n\r\ni | id: 1\r\ndata: a\r\n\r\n | 1 | d: 2\r\r          | id: 2\r\r             | 2       |
      | : wait\n                  | : wait\n              | None | id:7\n\n          | id:7\n\n              | 7       |
      | data: id: 9\n\n           | data: id: 9\n\n       | None | data: b\nid: 3\n\n | data: b\nid: 3\n\n   | 3       |

  # Guards against a server that never ends an event and fills the VM's memory.
  Scenario: a very long event is passed on before its end, and its stream can't be resumed any more
    Given the splitter of a resumable stream
    When it gets 40 pieces of 65536 bytes of one event
    Then it holds at most 1114112 bytes
    And it has passed on everything else, and allows no resuming
    When it gets "\n\n"
    Then its stream doesn't end inside an event
