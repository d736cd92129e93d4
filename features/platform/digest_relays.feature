@platform @digest-relays
Feature: Digests through relays
  In a large fleet each instance sends its digest to two relays of its zone. What an instance knows of another one must
  not depend on any single relay.

  Scenario Outline: <instances> instances in 4 zones know recent digests of all others after <failure>
    Given <instances> instances in 4 zones that relay their digests
    When <failure> and 2500 ms pass
    Then each running instance has a digest of each other one that is at most 1500 ms old
    And an instance sends on average at most <messages> messages a second

    Examples:
      | instances | failure                          | messages |
      | 28        | nothing fails                    | 60       |
      | 28        | one relay of each zone stops     | 60       |
      | 28        | both relays of a zone stop       | 60       |
      | 84        | nothing fails                    | 60       |
      | 84        | both relays of each zone stop    | 60       |

  Scenario: a digest that arrives again, late or from an earlier start of its instance is dropped
    Given a digest with the sequence number 5 of the second start of an instance has arrived
    Then a digest of that start with the number 5 is dropped
    And a digest of that start with the number 4 is dropped
    And a digest of the first start with the number 9 is dropped
    And a digest of that start with the number 6 is accepted
    And a digest of a third start with the number 1 is accepted

  Scenario: a message with malformed digests is read as far as it is sound
    When a message holds a sound digest, one without an address and a number
    Then the sound digest is read and nothing else
