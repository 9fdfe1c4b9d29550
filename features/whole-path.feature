Feature: A caller is answered by an upstream it never chose

  Scenario: A short question is answered whole
    Given a deployment of 3 entry nodes and 3 engines
    When a caller asks a short question of 9 tokens
    Then the answer is whole and its own
