Feature: A booking runs at most once, and a refusal is true

  Scenario: The reply of the plain service is lost and the caller sends again through every node
    Given 3 entry nodes before 2 plain services
    And replies of the plain services are lost
    When booking "visit-1" is sent to its home
    And booking "visit-1" is sent again through every node
    Then every send of "visit-1" is told that it may have run
    And booking "visit-1" ran exactly once

  Scenario: Sent at once through every node
    Given 3 entry nodes before 2 plain services
    And a call of the plain services takes 150 milliseconds
    When booking "visit-2" is sent 4 times at once through every node
    Then every send of "visit-2" is answered
    And booking "visit-2" ran exactly once

  Scenario: The home dies while the booking runs
    Given 3 entry nodes before 2 plain services
    And a call of the plain services takes 400 milliseconds
    When booking "visit-3" is sent and its home dies 150 milliseconds later
    And booking "visit-3" is sent again through every node
    Then every send of "visit-3" is told that it may have run
    And booking "visit-3" ran exactly once

  Scenario: The home is reclaimed while the booking waits and the caller sends again
    Given 3 entry nodes before 2 plain services
    And a call of the plain services takes 400 milliseconds
    When booking "visit-4" is sent and its home is reclaimed 100 milliseconds later with 3 seconds notice
    And booking "visit-4" is sent again through every node
    Then every send of "visit-4" is answered or told that it may have run
    And booking "visit-4" ran exactly once

  Scenario: One Idempotency-Key at every node at once while the key-value service loses replies
    Given 3 entry nodes before 2 plain services
    And 40 in 100 replies of the key-value service are lost
    When booking "visit-5" is sent with one key through every node at once
    Then booking "visit-5" ran once if any send was answered, and not at all otherwise

  Scenario: The key-value service is down
    Given 3 entry nodes before 2 plain services
    And the key-value service refuses every call
    When booking "visit-6" is sent with one key through every node at once
    Then every send of "visit-6" is told that it was not run
    And booking "visit-6" never ran
    When the key-value service works again
    And booking "visit-6" is sent with one key through every node at once
    Then booking "visit-6" ran exactly once

  Scenario: Another body or another organisation under the same id
    Given 3 entry nodes before 2 plain services
    When booking "visit-7" is sent to its home
    Then its id with another body is a conflict at every node
    And its id is unknown to another organisation at every node
    And booking "visit-7" ran exactly once

  Scenario: Retries do not multiply the load of a failing service
    Given 3 entry nodes before 2 plain services
    And replies of the plain services are lost
    When 100 roster lookups are sent
    Then the plain services ran at most 200 calls
    And every lookup was told at once what became of it
