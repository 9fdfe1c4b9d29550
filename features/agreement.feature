Feature: What operators set is in force everywhere, and nobody is told otherwise

  Scenario: Two operators change the configuration at the same time
    Given a fleet of 8 nodes with a configuration
    When two operators apply different changes to the same revision
    Then one change is accepted and the other operator gets the difference
    And the accepted change is in force at every node

  Scenario: The reply to an accepted change is lost
    Given a fleet of 8 nodes with a configuration
    When an operator applies a change and the reply of the key-value service is lost
    Then the operator is told that the change is accepted
    And the accepted change is in force at every node

  Scenario: A node starts while the key-value service is down
    Given a fleet of 8 nodes with a configuration
    And the key-value service is down
    When a node starts
    Then it takes new work with the configuration of its peers
    And callers of the other nodes are given its address after the service is back

  Scenario: A node that is cut off from everything takes no new work
    Given a fleet of 8 nodes with a configuration
    When one node is cut off from the key-value service and from every peer
    Then it takes no new work after a few seconds
    And the delivery of a change names it as the one that has not confirmed
    And it puts the change in force once it is reached again

  Scenario: A region that is cut off serves on with what it has
    Given a fleet of 12 nodes in two regions with a configuration
    When the second region is cut off from the first and from the key-value service
    Then its nodes still take new work
    And the delivery of a change names all of them as not confirmed
    And no node ever goes back to a lower revision when the regions meet again

  Scenario: A lease holder that was paused does not act on its old lease
    Given a planner that holds the lease and another that waits
    When the holder is paused for a minute
    Then the other holds the lease with a higher fencing number
    And the paused one does not hold it when it wakes
