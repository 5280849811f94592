Feature: settings in JSON with comments, all faults reported at once

  Background:
    Given a settings file
      """
      {
        // one entry VM
        vm: {name: "dk-1", region: "dakar-plateau", data_centre: "dk-a"},
        platform: {urls: ["http://127.0.0.1:2379"]},
        peers: {tls: {plain: true}},
      }
      """

  Scenario: comments are allowed and defaults are filled in
    Then the settings load with "vm.name" as "dk-1"
    And the settings load with "config.read_back_ms" as "2000"

  Scenario Outline: a fault gives the file, the key, the expected and the found value
    When the settings file has "<old>" replaced by "<new>"
    Then loading the settings reports exactly "<fault>"

    Examples:
      | old            | new                       | fault                                                                                   |
      | name: "dk-1"   | name: 7                   | vm.name: expected a string, found 7                                                     |
      | name: "dk-1",  |                           | vm.name: expected a string, found nothing                                               |
      | name: "dk-1"   | name: "dk-1", regoin: "x" | vm.regoin: expected a known key (did you mean 'region'?), found 'regoin'                |
      | name: "dk-1"   | name: "dk-1", http_port: 70000 | vm.http_port: expected a port from 0 to 65535, found 70000                         |
      | name: "dk-1"   | name: "dk-1", http_port: true  | vm.http_port: expected a whole number, found True                                  |
      | name: "dk-1"   | name: "dk-1", memory_mb: 63    | vm.memory_mb: expected at least 64, found 63.0                                    |
      | name: "dk-1"   | name: "dk-1", file_descriptors: 255 | vm.file_descriptors: expected at least 256, found 255                         |
      | peers: {       | intake: {descriptor_share: 1}, peers: { | intake.descriptor_share: expected a fraction between 0 and 1, found 1.0 |
      | peers: {       | intake: {request_share: 0.5}, peers: { | intake.request_share: expected at most 0.75 together with intake.connection_share, found 0.9 |
      | plain: true    | plain: true, ca_file: "a" | peers.tls.ca_file: expected nothing, as peers.tls.plain is true, found 'a'              |
      | peers: {       | load: {profile: "best"}, peers: { | load.profile: expected one of 'cheap', 'fast', found 'best'                     |
      | peers: {       | peers: {heartbeat_ms: 1500, | peers.silent_after_ms: expected at least twice peers.heartbeat_ms (3000), found 2000  |
      | peers: {       | front: {idle_ms: 0}, peers: { | front.idle_ms: expected a number above 0, found 0                                   |
      | peers: {       | gateway: {regions: {"dk-a": 3}}, peers: { | gateway.regions.dk-a: expected a string, found 3                         |
      | peers: {       | gateway: {regions: ["dk-a"]}, peers: {    | gateway.regions: expected an object, found a list                        |
      | peers: {       | gateway: {callers: "here"}, peers: {      | gateway.callers: expected host:port, found 'here'                        |
      | peers: {       | gateway: {seeds: ["h:99999"]}, peers: {   | gateway.seeds[0]: expected host:port, found 'h:99999'                    |
      | peers: {       | gateway: {grace_s: 0}, peers: {           | gateway.grace_s: expected a number above 0, found 0.0                    |
      | peers: {       | gateway: {repeat_ratio: -1}, peers: {     | gateway.repeat_ratio: expected 0 or a number above it, found -1.0        |
      | peers: {       | gateway: {regions: {"x": "y"}}, peers: {  | gateway.regions: expected a region for 'dk-a', found none                |

  Scenario: several faults are reported together
    When the settings file has "name: "dk-1", region: "dakar-plateau"" replaced by "regoin: 3"
    Then loading the settings reports 3 faults

  Scenario: a file that is not JSON is reported as one fault
    When the settings file has "{" replaced by "["
    Then loading the settings reports 1 faults
