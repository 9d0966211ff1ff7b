Feature: The operator's word
  What was acknowledged is never lost or gone back on, whatever is lost at once.

  Scenario: A configuration is at every node within the time for it
    Given 4 core nodes and 7 others
    When the operator sends configuration 5 to node 1
    And 1.5 seconds pass
    Then configuration 5 is acknowledged
    And every node uses configuration 5

  Scenario: A node without a disk takes the call and passes it on
    Given 4 core nodes and 7 others
    When the operator sends configuration 5 to node 9
    And 1 second passes
    Then configuration 5 is acknowledged

  Scenario: One disk may be away, two may not
    Given 4 core nodes and 3 others
    When node 4 is killed
    And the operator sends configuration 5 to node 1
    And 1 second passes
    Then configuration 5 is acknowledged
    When node 3 is killed
    And the operator sends configuration 6 to node 1
    And 4 seconds pass
    Then configuration 6 is not acknowledged

  Scenario: The tolerated loss is wiped while every other machine loses power
    Given 4 core nodes and 3 others
    When the operator sends configuration 5 to node 1
    Then configuration 5 is acknowledged as soon as can be
    When every node loses power, and node 2 its disk
    And 1 second passes
    And every node comes back
    And 1.5 seconds pass
    Then reading at node 2 gives configuration 5
    And reading at node 7 gives configuration 5

  Scenario: An empty disk has no seat until a majority of the old core gives it one
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When node 2 loses its disk
    And node 3 is killed
    And node 4 is killed
    And node 2 comes back
    And 2 seconds pass
    Then node 2 has no seat
    And reading at node 2 gives nothing
    When node 3 comes back
    And 2 seconds pass
    Then node 2 has no seat
    And reading at node 2 gives configuration 5
    When node 4 comes back
    And 2 seconds pass
    Then node 2 has its seat
    And reading at node 2 gives configuration 5

  Scenario: Two bodies under one number, split two to two
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When two operators send configuration 6 to nodes 1 and 4 at once
    And 3 seconds pass
    Then one of the two is acknowledged and the other refused as 6 is taken
    And every node holds the same configuration 6
    And the one that was acknowledged is acknowledged again at every node

  Scenario: An old change that arrives once again has no effect
    Given 4 core nodes and 3 others
    And configuration 6 is everywhere
    When the operator sends configuration 5 to node 3
    And 1 second passes
    Then configuration 5 is acknowledged
    And every node uses configuration 6

  Scenario: A change on one disk only is mended, and never served from nowhere
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When the core is cut into 1 and 2, 3, 4
    And the operator sends configuration 6 to node 1
    And 3.5 seconds pass
    Then configuration 6 is not acknowledged
    When the links are mended
    And 2 seconds pass
    Then all core nodes hold the same

  Scenario: A full disk is no copy
    Given 4 core nodes and 3 others
    When the disks of nodes 3 and 4 are full
    And the operator sends configuration 5 to node 1
    And 3.5 seconds pass
    Then configuration 5 is not acknowledged
    When the disks have room again
    And the operator sends configuration 5 to node 1
    And 2 seconds pass
    Then configuration 5 is acknowledged

  Scenario: A zone that was closed stays closed when all processes are killed
    Given 4 core nodes and 3 others
    When the operator closes zone z1 at node 6
    And 1 second passes
    And every node loses power, and node 1 its disk
    And every node comes back
    And 2 seconds pass
    Then zone z1 is closed at every node
    When the operator opens zone z1 at node 2
    And 1.5 seconds pass
    Then no zone is closed at any node

  Scenario: Where nothing was ever sent, nothing is read
    Given 4 core nodes and 1 others
    Then reading at node 5 gives nothing
