Feature: Nodes that know each other
  Who is there, who does what, and what a node may do that hears nobody.

  Scenario: A node that is cut off lets no keyed requests in
    Given 4 core nodes and 4 others
    And configuration 5 is everywhere
    When node 6 is cut off from the core
    And the operator sends configuration 6 to node 1
    And 4.6 seconds pass
    Then node 6 lets no keyed requests in
    And node 7 lets keyed requests in
    When the links are mended
    And 2 seconds pass
    Then every node uses configuration 6
    And node 6 lets keyed requests in

  Scenario: A node that is heard by the core but hears nothing stops too
    Given 4 core nodes and 4 others
    And configuration 5 is everywhere
    When node 6 hears nothing from the core
    And 4.6 seconds pass
    Then node 6 lets no keyed requests in

  Scenario: None of the first seeds is left
    Given 5 core nodes and 4 others
    And configuration 5 is everywhere
    When node 1 is killed
    And node 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to node 9
    And 2 seconds pass
    Then configuration 6 is acknowledged

  Scenario: A role goes on when its holder is killed
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When the holder of the list is killed
    And 3 seconds pass
    Then the list has a holder

  Scenario: A holder that leaves in order hands its roles on at once
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When the holder of the list leaves in order
    And 1 second passes
    Then the list has a holder

  Scenario: All nodes are stopped and started in turn while the operator and the platform go on
    Given 4 core nodes and 4 others
    And configuration 5 is everywhere
    When every node leaves in order and is back 1.0 seconds later, one each 1.2 seconds
    And meanwhile 3.0 seconds in the operator sends configuration 6 to node 8 and a server is drained
    And 12 seconds pass
    Then no role was without a holder for longer than 1.0 seconds
    And configuration 6 is acknowledged
    And every node uses configuration 6
    And every node knows that it is drained
    And every node has had a new life

  Scenario: All processes are killed and roles go on without a term of silence
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When every node loses power, and none its disk
    And every node comes back
    And 1.2 seconds pass
    Then the list has a holder

  Scenario: All processes are killed and come back one after the other, and no role waits for a term
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When every node loses power, and none its disk
    And every node comes back within 0.3 seconds
    And 1.2 seconds pass
    Then every role has a holder

  Scenario: A killed node promises nothing that others count on
    Given 3 core nodes and 0 others
    And configuration 5 is everywhere
    When the nodes that do not hold the list are killed and come back while its holder is cut off from one
    And 3 seconds pass
    Then the list has a holder

  Scenario: The holder of the list is cut off and stops before another begins
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When the holder of the list is cut off from the core
    And 5 seconds pass
    Then the list has a holder

  Scenario: News of servers reach every node, past a home node that is dead
    Given 4 core nodes and 7 others
    And configuration 5 is everywhere
    When node 5 is killed
    And a server is drained
    And 2.5 seconds pass
    Then every node knows that it is drained

  Scenario: Others are not sent to a holder that the core has lost
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When the holder of a tenant's counter is cut off from the core nodes alone
    And 5 seconds pass
    Then every node gets a lease from that tenant's counter, whenever it asks

  Scenario: A spare node with a disk joins, catches up and counts
    Given 4 core nodes and 3 others
    And configuration 5 is everywhere
    When a spare node with a disk joins as node 9
    And 2 seconds pass
    Then node 9 has its seat
    And every node uses configuration 5
    When node 1 is killed
    And node 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to node 9
    And 2 seconds pass
    Then configuration 6 is acknowledged
    And every node uses configuration 6

  Scenario: Clients know nodes outside their zone, and outside their region only where it has none to choose from
    Given 4 core nodes and 7 others
    And configuration 5 is everywhere
    Then node 9 sends clients of the east to nodes of 2 zones
    When nodes 2, 4, 6 and 8 are killed
    And 7 seconds pass
    Then node 9 sends clients of the east to nodes of 3 zones
