Feature: the operators' client takes only whole answers

  Scenario Outline: an answer without a length that breaks off is no answer
    Given an entry VM's answer "<body>" without a length
    When an operator asks it for its status
    Then the operator's client says that it "<outcome>"

    Examples: in which an empty body is written as none
      | body                  | outcome              |
      | none                  | sent no valid answer |
      | {"position":          | sent no valid answer |
      | {"position": 4}       | answered             |
