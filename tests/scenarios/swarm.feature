Feature: Doors that know each other
  Who is there, who does what, and what a door may do that hears nobody.

  Scenario: A door that is cut off lets no keyed requests in
    Given 4 core doors and 4 others
    And configuration 5 is everywhere
    When door 6 is cut off from the core
    And the operator sends configuration 6 to door 1
    And 4.6 seconds pass
    Then door 6 lets no keyed requests in
    And door 7 lets keyed requests in
    When the links are mended
    And 2 seconds pass
    Then every door uses configuration 6
    And door 6 lets keyed requests in

  Scenario: A door that is heard by the core but hears nothing stops too
    Given 4 core doors and 4 others
    And configuration 5 is everywhere
    When door 6 hears nothing from the core
    And 4.6 seconds pass
    Then door 6 lets no keyed requests in

  Scenario: None of the first seeds is left
    Given 5 core doors and 4 others
    And configuration 5 is everywhere
    When door 1 is killed
    And door 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to door 9
    And 2 seconds pass
    Then configuration 6 is acknowledged

  Scenario: A duty goes on when its holder is killed
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When the holder of the list is killed
    And 3 seconds pass
    Then the list has a holder

  Scenario: A holder that leaves in order hands its duties on at once
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When the holder of the list leaves in order
    And 1 second passes
    Then the list has a holder

  Scenario: All doors are stopped and started in turn while the operator and the platform go on
    Given 4 core doors and 4 others
    And configuration 5 is everywhere
    When every door leaves in order and is back 1.0 seconds later, one each 1.2 seconds
    And meanwhile 3.0 seconds in the operator sends configuration 6 to door 8 and a server is drained
    And 12 seconds pass
    Then no duty was without a holder for longer than 1.0 seconds
    And configuration 6 is acknowledged
    And every door uses configuration 6
    And every door knows that it is drained
    And every door has had a new life

  Scenario: All processes are killed and duties go on without a term of silence
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When every door loses power, and none its disk
    And every door comes back
    And 1.2 seconds pass
    Then the list has a holder

  Scenario: All processes are killed and come back one after the other, and no duty waits for a term
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When every door loses power, and none its disk
    And every door comes back within 0.3 seconds
    And 1.2 seconds pass
    Then every duty has a holder

  Scenario: A killed door promises nothing that others count on
    Given 3 core doors and 0 others
    And configuration 5 is everywhere
    When the doors that do not hold the list are killed and come back while its holder is cut off from one
    And 3 seconds pass
    Then the list has a holder

  Scenario: The holder of the list is cut off and stops before another begins
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When the holder of the list is cut off from the core
    And 5 seconds pass
    Then the list has a holder

  Scenario: News of servers reach every door, past a home door that is dead
    Given 4 core doors and 7 others
    And configuration 5 is everywhere
    When door 5 is killed
    And a server is drained
    And 2.5 seconds pass
    Then every door knows that it is drained

  Scenario: Others are not sent to a holder that the core has lost
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When the holder of a tenant's counter is cut off from the core doors alone
    And 5 seconds pass
    Then every door gets a lease from that tenant's counter, whenever it asks

  Scenario: A spare door with a disk joins, catches up and counts
    Given 4 core doors and 3 others
    And configuration 5 is everywhere
    When a spare door with a disk joins as door 9
    And 2 seconds pass
    Then door 9 has its seat
    And every door uses configuration 5
    When door 1 is killed
    And door 2 is killed
    And 1 second passes
    And the operator sends configuration 6 to door 9
    And 2 seconds pass
    Then configuration 6 is acknowledged
    And every door uses configuration 6

  Scenario: Clients know doors outside their zone, and outside their region only where it has none to choose from
    Given 4 core doors and 7 others
    And configuration 5 is everywhere
    Then door 9 sends clients of the east to doors of 2 zones
    When doors 2, 4, 6 and 8 are killed
    And 7 seconds pass
    Then door 9 sends clients of the east to doors of 3 zones
