Feature: Reports tell who got what, whatever happened to the nodes

  Scenario: A node dies and its numbers stay
    Given 3 nodes that count and report
    And each node has answered 10 requests and reported
    When node 1 dies and its lease lapses
    And a planner folds the reports of nodes that are gone
    Then the report tells of 30 answers
    And it names the gap of node 1

  Scenario: Two planners fold at once
    Given 3 nodes that count and report
    And each node has answered 10 requests and reported
    When node 1 dies and its lease lapses
    And two planners fold at once, call by call in turn
    Then the report tells of 30 answers

  Scenario: The reply of a fold is lost
    Given 3 nodes that count and report
    And each node has answered 10 requests and reported
    When node 1 dies and its lease lapses
    And a planner folds and no reply to its writes arrives
    And another planner takes over
    Then the report tells of 30 answers

  Scenario: A node that was only cut off comes back
    Given 3 nodes that count and report
    And each node has answered 10 requests and reported
    When node 1 is cut off and its lease lapses
    And a planner folds the reports of nodes that are gone
    And node 1 comes back, having answered 5 more requests
    Then the report tells of 35 answers
    And it names no gap

  Scenario: The key-value service is down for ten minutes
    Given 3 nodes that count and report
    And each node has answered 10 requests and reported
    When the key-value service is down for 10 minutes while each node answers 5 more
    And a planner folds the reports of nodes that are gone
    Then the report tells of 45 answers
    And it names no gap
