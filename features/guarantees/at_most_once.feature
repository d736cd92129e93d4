@at-most-once
Feature: A request that may not be repeated runs at most once
    An instance claims the idempotency key of such a request before it dispatches the request, and settles the claim
    with the outcome. The owner of the key's shard decides on claims.

    Scenario Outline: a key is dispatched at most once while the shard owner is <fault>
        Given 7 instances and 3 engines with seed <seed>
        When instance 1 claims the key "stamp-1"
        And <before> ms pass
        And the shard owner of the key "stamp-1" is <fault>
        And 1500 ms pass
        And every live instance claims the key "stamp-1"
        And 6000 ms pass
        And all connections are restored
        And every live instance claims the key "stamp-1"
        And 6000 ms pass
        And every live instance claims the key "stamp-2"
        And 3000 ms pass
        Then the key "stamp-1" was dispatched at most once
        And the key "stamp-2" was dispatched 1 time
        And no guarantee was violated

        Examples:
            | fault                           | before | seed |
            | left running                    | 0      | 1    |
            | killed                          | 0      | 1    |
            | killed                          | 2      | 2    |
            | killed                          | 4      | 3    |
            | killed                          | 8      | 4    |
            | killed                          | 16     | 5    |
            | killed                          | 40     | 6    |
            | paused                          | 0      | 1    |
            | paused                          | 4      | 2    |
            | paused                          | 8      | 3    |
            | paused                          | 40     | 4    |
            | cut off from its peers          | 0      | 1    |
            | cut off from its peers          | 8      | 2    |
            | cut off from the platform       | 0      | 3    |
            | cut off from the platform       | 4      | 4    |
            | cut off from peers and platform | 8      | 5    |

    Scenario Outline: a key is dispatched at most once while the platform <platform>
        Given 7 instances and 3 engines with seed <seed>
        When the platform <platform>
        And every live instance claims the key "stamp-1"
        And 4000 ms pass
        And the shard owner of the key "stamp-1" is <fault>
        And every live instance claims the key "stamp-1"
        And 5000 ms pass
        And the platform works
        And 2000 ms pass
        And every live instance claims the key "stamp-1"
        And 4000 ms pass
        And every live instance claims the key "stamp-2"
        And 4000 ms pass
        Then the key "stamp-1" was dispatched at most once
        And the key "stamp-2" was dispatched 1 time
        And no guarantee was violated

        Examples:
            | platform                        | fault                  | seed |
            | is down                         | left running           | 1    |
            | is down                         | killed                 | 2    |
            | is slow                         | left running           | 3    |
            | is slow                         | killed                 | 4    |
            | is slow                         | paused                 | 5    |
            | loses every response to a write | left running           | 6    |
            | loses every response to a write | killed                 | 7    |
            | loses every response to a write | cut off from its peers | 8    |

    Scenario: a paused shard owner that resumes cannot append to the claim log, as another instance has taken over the shard
        Given 7 instances and 3 engines with seed 11
        When the shard owner of the key "stamp-1" is paused
        And instance 1 claims the key "stamp-1"
        And 8000 ms pass
        And every live instance claims the key "stamp-1"
        And 3000 ms pass
        And instances 1,2,3,4,5,6,7 are resumed
        And 3000 ms pass
        Then the key "stamp-1" was dispatched 1 time
        And no guarantee was violated

    Scenario Outline: a claim that is repeated right after the outcome is recorded gets that outcome, seed <seed>
        Given 7 instances and 3 engines with seed <seed>
        When instance 1 claims the key "stamp-1"
        And <delay> ms pass
        And the holder of the key "stamp-1" settles it, and <repeat> ms later every live instance claims it
        And 1000 ms pass
        Then the key "stamp-1" was dispatched 1 time
        And every repeated claim of the key "stamp-1" was answered with the outcome

        Examples:
            | delay | repeat | seed |
            | 100   | 5      | 12   |
            | 40    | 20     | 13   |
            | 35    | 20     | 14   |
            | 35    | 16     | 15   |
            | 30    | 20     | 16   |
