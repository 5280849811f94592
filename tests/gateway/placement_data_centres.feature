Feature: a prompt is placed in the data centre of the VM that sends it

  Scenario: the placement coordinator is in another data centre than the sending VM
    # A VM prefers servers of its own data centre for its own requests. If the coordinator preferred
    # its own data centre for all, the other data centre's prompts would cross over and crowd there,
    # while the servers at home are idle.
    Given a gateway of two data centres with three VMs and a model server in each
    And one VM coordinates the placement of service "model"
    When callers send every VM 4 prompts, one VM after the other
    Then all prompts get a response and ran once
    And each prompt ran in the data centre of the VM that got it
