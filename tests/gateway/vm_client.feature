Feature: a VM takes another VM's answer only if it echoes the id of its call

  # Guards against state or changes of another call that a VM applies.
  Scenario Outline: an answer with <id>
    Given a VM whose answers to other VMs have <id>
    Then a call of another VM gets <found>

    Examples:
      | id            | found             |
      | their call's id | its body        |
      | no id         | nothing           |
      | another's id  | nothing           |
