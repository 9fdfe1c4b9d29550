Feature: A request that crashes its upstreams costs two of them and nobody else

  Scenario: It is sent again and again through every node
    Given 3 entry nodes and 6 engines for a crashing request
    And 12 technicians wait for answers
    When the crashing request is sent 4 times in a row through every node under new ids
    Then at most 2 engines have died
    And the last send of the crashing request was refused for good
    And every technician has a whole answer

  Scenario: It is sent through every node at once
    Given 3 entry nodes and 6 engines for a crashing request
    And 12 technicians wait for answers
    When the crashing request is sent 3 times at once through every node under new ids
    Then at most 2 engines have died
    And every technician has a whole answer

  Scenario: Crashed engines are started again at once at the same address
    Given 3 entry nodes and 6 engines for a crashing request
    And 12 technicians wait for answers
    And a crashed engine is started again at its address at once
    When the crashing request is sent 4 times in a row through every node under new ids
    Then at most 2 engines have died
    And the last send of the crashing request was refused for good
    And every technician has a whole answer

  Scenario: Requests of which no two are alike share the message that crashes engines
    Given 3 entry nodes and 6 engines for a crashing request
    And 12 technicians wait for answers
    And a crashed engine is started again at its address at once
    When 5 requests with a message that crashes engines are sent through every node, no two alike
    And 3 seconds later 5 more of them are sent through every node
    Then at most 3 more engines have died
    And the last send of the crashing request was refused for good

  Scenario: A node starts after the message has crashed engines
    Given 3 entry nodes and 6 engines for a crashing request
    And a crashed engine is started again at its address at once
    When 2 requests with a message that crashes engines are sent through every node, no two alike
    And another node starts
    And 3 seconds later 3 more of them are sent through the new node
    Then at most 3 more engines have died
    And the last send of the crashing request was refused for good
