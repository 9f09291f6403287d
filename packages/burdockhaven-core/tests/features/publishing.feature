Feature: Operators publish the configuration

  Background:
    Given a template that was published as version 1

  Scenario: Two operators change the same version
    When Ann and Bob both put an account on version 1
    Then Ann's change is accepted as version 2
    And Bob's change is refused and names Ann's

  Scenario: The answer to a change is lost
    When Ann puts an account and the answer is lost
    Then Ann's change is accepted as version 2

  Scenario: The key-value service is down
    Given the key-value service is down
    When Ann puts an account
    Then Ann's change is not made
    And version 1 is in force

  Scenario: The key-value service is restored with older data
    Given Ann has put an account
    When the key-value service is restored to version 1
    And an entry reads the configuration
    Then version 2 is in force
    And the key-value service holds version 2
