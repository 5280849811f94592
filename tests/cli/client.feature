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
      | []                    | sent no valid answer |
      | null                  | sent no valid answer |
      | 4                     | sent no valid answer |

  # Guards against an operator who sees a stack trace in place of the reason.
  Scenario Outline: a refusal of another form is a refusal
    Given an entry VM's refusal "<body>"
    When an operator asks it for its status
    Then the operator's client says that it "<outcome>"

    Examples:
      | body                         | outcome              |
      | {"error": {"code": "x"}}     | refused              |
      | {"error": "too many"}        | refused              |
      | {}                           | refused              |
      | []                           | sent no valid answer |
