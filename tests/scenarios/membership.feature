Feature: Membership, singleton roles and isolated nodes
  Which nodes are known, which one holds a role, and what an isolated node may do.

  Scenario: A node that is cut off accepts no requests with keys
    Given 4 core nodes and 4 others
    And configuration 5 has reached every node
    When node 6 is cut off from the core
    And the operator sends configuration 6 to node 1
    And 4.6 seconds pass
    Then node 6 accepts no requests with keys
    And node 7 accepts requests with keys
    When the links are restored
    And 2 seconds pass
    Then every node uses configuration 6
    And node 6 accepts requests with keys

  Scenario: A node with only its incoming links cut accepts no requests with keys either
    Given 4 core nodes and 4 others
    And configuration 5 has reached every node
    When node 6 receives nothing from the core
    And 4.6 seconds pass
    Then node 6 accepts no requests with keys

  Scenario: A configuration is acknowledged after seed nodes have failed
    Given 5 core nodes and 4 others
    And configuration 5 has reached every node
    When node 1 is killed
    And node 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to node 9
    And 2 seconds pass
    Then configuration 6 is acknowledged

  Scenario: A role gets a new holder when its holder is killed
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When the holder of the list reader role is killed
    And 3 seconds pass
    Then the list reader role has a holder

  Scenario: A holder that drains hands its roles over at once
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When the holder of the list reader role drains
    And 1 second passes
    Then the list reader role has a holder

  Scenario: All nodes are restarted in turn while a configuration is sent and a server drains
    Given 4 core nodes and 4 others
    And configuration 5 has reached every node
    When every node drains and is back 1.0 seconds later, one every 1.2 seconds
    And 3.0 seconds later the operator sends configuration 6 to node 8 and a server is drained
    And 12 seconds pass
    Then no role was without a holder for longer than 1.0 seconds
    And configuration 6 is acknowledged
    And every node uses configuration 6
    And every node knows that the server drains
    And every node has been restarted

  Scenario: All processes are killed and a role has a holder sooner than after a lease's duration
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When every node loses power, and none loses its disk
    And every node restarts
    And 1.2 seconds pass
    Then the list reader role has a holder

  Scenario: All processes are killed and restart in turn, and every role has a holder before a lease expires
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When every node loses power, and none loses its disk
    And every node restarts within 0.3 seconds
    And 1.2 seconds pass
    Then every role has a holder

  Scenario: A new lease does not depend on leases that a killed node had granted
    Given 3 core nodes and 0 others
    And configuration 5 has reached every node
    When the nodes without the list reader role are killed and restarted while its holder is cut off from one
    And 3 seconds pass
    Then the list reader role has a holder

  Scenario: The holder of the list reader role is cut off and stops reading before another node begins
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When the holder of the list reader role is cut off from the core
    And 5 seconds pass
    Then the list reader role has a holder

  Scenario: Updates of servers reach every node although a zone's home node has failed
    Given 4 core nodes and 7 others
    And configuration 5 has reached every node
    When node 5 is killed
    And a server is drained
    And 2.5 seconds pass
    Then every node knows that the server drains

  Scenario: No node uses a counter's holder that is cut off from the core
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When the holder of a tenant's counter is cut off from the other core nodes only
    And 5 seconds pass
    Then every node gets credits from that tenant's counter at each request

  Scenario: A spare node with a disk joins, catches up and votes
    Given 4 core nodes and 3 others
    And configuration 5 has reached every node
    When a spare node with a disk joins as node 9
    And 2 seconds pass
    Then node 9 is a member of the core
    And every node uses configuration 5
    When node 1 is killed
    And node 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to node 9
    And 2 seconds pass
    Then configuration 6 is acknowledged
    And every node uses configuration 6

  Scenario: Clients get nodes outside their zone, and outside their region only if it has too few nodes
    Given 4 core nodes and 7 others
    And configuration 5 has reached every node
    Then node 9 sends clients of the east to nodes of 2 zones
    When nodes 2, 4, 6 and 8 are killed
    And 7 seconds pass
    Then node 9 sends clients of the east to nodes of 3 zones
