Feature: The planner keeps a service's capacity without being told how

  Scenario: A failure domain is reclaimed and its engines are replaced
    Given a deployment of 3 entry nodes and 3 engines
    And a planner runs beside the entry nodes
    When the cloud takes back the reclaimable instances of "zone-a"
    Then within 20 seconds 3 engines of the deployment serve the model again
    And the planner's history tells of the reclaim

  Scenario: Two planners run and only one acts
    Given a deployment of 3 entry nodes and 3 engines
    And a planner runs beside the entry nodes
    And another planner runs beside the entry nodes
    When the cloud takes back the reclaimable instances of "zone-b"
    Then within 20 seconds 3 engines of the deployment serve the model again
    And the cloud has started 4 engines in all

  Scenario: Nothing reclaimable is left and the planner buys on demand
    Given a deployment of 3 entry nodes and 3 engines
    And a planner runs beside the entry nodes
    And the cloud sells no reclaimable instance any more
    When the cloud takes back the reclaimable instances of "zone-c"
    Then within 20 seconds 3 engines of the deployment serve the model again
    And one engine of the deployment is on demand

  Scenario: An instance that is drained gets no new work and finishes what it has
    Given a deployment of 3 entry nodes and 3 engines
    When the planner's list says that the first engine's instance is drained
    Then within 8 seconds every entry node gives the first engine no new work
    And 6 short questions are answered whole without it
