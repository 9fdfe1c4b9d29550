Feature: Entry nodes end while answers are under way

  Scenario: A node dies halfway through its hand-over
    Given 4 entry nodes, 3 engines and 12 plans of 200 tokens over all nodes
    When the node with most plans is reclaimed and dies after its first message of the hand-over
    Then every plan is whole at its own caller

  Scenario: The successor dies as soon as it has taken the requests
    Given 4 entry nodes, 3 engines and 12 plans of 200 tokens over all nodes
    When the node with most plans is reclaimed and the node that took its requests dies
    Then every plan is whole at its own caller

  Scenario: A whole failure domain of entry nodes is reclaimed
    Given 6 entry nodes, 3 engines and 12 plans of 200 tokens over all nodes
    When the failure domain with most plans is reclaimed with both its nodes at once
    Then every plan is whole at its own caller
    And no offset came twice and none is missing

  Scenario: A node dies without notice
    Given 4 entry nodes, 3 engines and 12 plans of 200 tokens over all nodes
    When the node with most plans dies without notice
    Then every plan is whole at its own caller

  Scenario: The connection to an engine goes silent
    Given 3 entry nodes, 2 engines and 1 plans of 40 tokens whose connections go silent after 5 tokens
    Then every plan is whole at its own caller
    And no engine was asked to begin an answer twice
    And no offset came twice and none is missing

  Scenario: Engines send tokens twice, in the wrong order, and events of other streams
    Given 3 entry nodes, 2 engines that mix up what they send, and 6 plans of 60 tokens
    Then every plan is whole at its own caller
    And no engine was asked to begin an answer twice
    And no offset came twice and none is missing

  Scenario: An engine dies without notice while it writes a third of the plans
    Given 3 entry nodes, 3 engines and 30 plans of 150 tokens over all nodes
    When the engine with most plans dies without notice
    Then every plan is whole at its own caller
    And no offset came twice and none is missing
