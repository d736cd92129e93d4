@leaving
Feature: A target that leaves or is withdrawn receives no new requests after three seconds

    Scenario Outline: <what> gets no new requests while <fault>
        Given 7 instances and 8 engines with seed <seed>
        When the <selector> "<name>" is withdrawn
        And <fault>
        And every instance sends 1 request to every engine every 200 ms for 6000 ms
        Then no engine of <selector> "<name>" started a request after the change was due to be in force
        And no guarantee was violated

        Examples:
            | what             | selector | name     | fault                                         | seed |
            | a recalled batch | batch    | batch-2  | 0 ms pass                                     | 1    |
            | a recalled batch | batch    | batch-2  | the platform is down                          | 2    |
            | a target         | target   | engine-3 | engine 3 restarts                             | 3    |
            | an instance      | instance | host-4   | instances 1,2,3 are cut off from the platform | 4    |

    Scenario: a target that the platform lists as leaving gets no new requests
        Given 7 instances and 4 engines with seed 5
        When the platform lists "host-2" as leaving
        And every instance sends 1 request to every engine every 200 ms for 6000 ms
        Then no engine of instance "host-2" started a request after the change was due to be in force
