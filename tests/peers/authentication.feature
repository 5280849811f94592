Feature: Only VMs of the fleet are peers

  Scenario Outline: VMs that present the authority's certificate for themselves or the fleet
    Given a TLS peer node B with a "<b>" certificate
    And a TLS peer node A with a "<a>" certificate
    When peer node A asks B to echo "salaam"
    Then the peer reply is "vm-a said salaam"

    Examples:
      | a     | b     |
      | fleet | fleet |
      | vm-a  | vm-b  |

  Scenario Outline: A caller of the peer port without a valid certificate of the fleet
    # A process outside the fleet, or a VM with a wrong or expired certificate, calls the peer port.
    # The handler must not see the request, and the VM called must count a refusal.
    Given a TLS peer node B with a "fleet" certificate
    And a TLS peer node A with a "<a>" certificate
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran <ran>
    And peer node B ran no handler and counted a refused peer

    Examples:
      | a                 | kind             | ran     |
      | vm-other          | peer_refused     | no      |
      | foreign authority | peer_unreachable | unknown |
      | expired           | peer_unreachable | unknown |
      | plain             | peer_unreachable | unknown |

  Scenario: A caller of the peer port with no certificate
    Given a TLS peer node B with a "fleet" certificate
    When a TLS client without a certificate connects to peer node B
    Then its connection is closed
    And peer node B ran no handler and counted a refused peer

  Scenario Outline: A process that listens at a peer's address without the peer's certificate
    # Another process listens at the peer's address. It must not receive the request's content.
    Given a TLS peer node B with a "<b>" certificate
    And a TLS peer node A with a "fleet" certificate
    When peer node A asks B to echo "salaam"
    Then the peer call fails with <kind>, ran no
    And peer node B ran no handler

    Examples:
      | b                 | kind             |
      | vm-other          | peer_refused     |
      | foreign authority | peer_refused     |
      | expired           | peer_refused     |
      | plain             | peer_unreachable |

  Scenario Outline: Settings with neither certificates nor plain mode
    Then a peer node with TLS settings that lack "<key>" does not start and names "<key>"

    Examples:
      | key       |
      | ca_file   |
      | cert_file |
      | key_file  |

  Scenario: An authority is not replaced by another
    Given a development authority
    Then making a second development authority in its place is refused
    And the private keys are readable by their owner only
