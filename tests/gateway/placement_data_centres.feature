Feature: a request goes to a server near the VM that sends it

  Scenario: the VM that places is in another data centre than the one that asks
    # It prefers servers beside itself for its own requests. Preferred for all, half of the prompts
    # would go to the other data centre and crowd there, beside idle servers at home.
    Given a gateway of two data centres with three VMs and a model server in each
    And one VM places the prompts of service "model" for all
    When callers ask every VM for 4 prompts, one VM after the other
    Then all prompts are answered and ran once
    And each prompt ran in the data centre of the VM that was asked
