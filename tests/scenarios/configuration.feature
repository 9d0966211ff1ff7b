Feature: Operators' changes
  An acknowledged change is never lost or revoked, whatever fails at the same time.

  Scenario: Every node uses a configuration within its time limit
    Given 4 core nodes and 7 others
    When the operator sends configuration 5 to node 1
    And 1.5 seconds pass
    Then configuration 5 is acknowledged
    And every node uses configuration 5

  Scenario: A node without a disk forwards a configuration to the core
    Given 4 core nodes and 7 others
    When the operator sends configuration 5 to node 9
    And 1 second passes
    Then configuration 5 is acknowledged

  Scenario: A core of four tolerates the loss of one member, not of two
    Given 4 core nodes and 3 others
    When node 4 is killed
    And the operator sends configuration 5 to node 1
    And 1 second passes
    Then configuration 5 is acknowledged
    When node 3 is killed
    And the operator sends configuration 6 to node 1
    And 4 seconds pass
    Then configuration 6 is not acknowledged

  Scenario: A member's disk is lost while all machines lose power
    Given 4 core nodes and 3 others
    When the operator sends configuration 5 to node 1
    Then configuration 5 is acknowledged within a second
    When every node loses power, and node 2 loses its disk
    And 1 second passes
    And every node restarts
    And 1.5 seconds pass
    Then a read at node 2 returns configuration 5
    And a read at node 7 returns configuration 5

  Scenario: A wiped node is no member until a majority of the old core readmits it
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When node 2 loses its disk
    And node 3 is killed
    And node 4 is killed
    And node 2 restarts
    And 2 seconds pass
    Then node 2 is no member of the core
    And a read at node 2 returns nothing
    When node 3 restarts
    And 2 seconds pass
    Then node 2 is no member of the core
    And a read at node 2 returns configuration 5
    When node 4 restarts
    And 2 seconds pass
    Then node 2 is a member of the core
    And a read at node 2 returns configuration 5

  Scenario: Two configurations with the same number are sent to two core nodes
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When two operators send configuration 6 to nodes 1 and 4 at once
    And 3 seconds pass
    Then one of the two is acknowledged and the other rejected because number 6 is in use
    And every node has the same configuration 6
    And the one that was acknowledged is acknowledged again at every node

  Scenario: An outdated configuration is acknowledged and has no effect
    Given 4 core nodes and 3 others
    And configuration 6 has reached every node
    When the operator sends configuration 5 to node 3
    And 1 second passes
    Then configuration 5 is acknowledged
    And every node uses configuration 6

  Scenario: A change on one disk only is resolved once the links are restored
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When the core is split between node 1 and nodes 2, 3, 4
    And the operator sends configuration 6 to node 1
    And 3.5 seconds pass
    Then configuration 6 is not acknowledged
    When the links are restored
    And 2 seconds pass
    Then all core nodes have the same configuration

  Scenario: A full disk does not count towards a majority
    Given 4 core nodes and 3 others
    When the disks of nodes 3 and 4 are full
    And the operator sends configuration 5 to node 1
    And 3.5 seconds pass
    Then configuration 5 is not acknowledged
    When the disks have free space again
    And the operator sends configuration 5 to node 1
    And 2 seconds pass
    Then configuration 5 is acknowledged

  Scenario: An evacuated zone stays evacuated when all processes are killed
    Given 4 core nodes and 3 others
    When the operator evacuates zone z1 at node 6
    And 1 second passes
    And every node loses power, and node 1 loses its disk
    And every node restarts
    And 2 seconds pass
    Then zone z1 is evacuated at every node
    When the operator ends the evacuation of zone z1 at node 2
    And 1.5 seconds pass
    Then no zone is evacuated at any node

  Scenario: A read returns nothing before a configuration was sent
    Given 4 core nodes and 1 others
    Then a read at node 5 returns nothing
