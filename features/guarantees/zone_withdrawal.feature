@zone-out
Feature: A zone that operators have withdrawn receives no new requests after three seconds

    Scenario Outline: a withdrawn zone gets no new requests while <fault>
        Given 7 instances and 6 engines with seed <seed>
        When the zone "lalitpur-b" is withdrawn
        And <fault>
        And every instance sends 2 requests to every engine every 200 ms for 9000 ms
        Then no engine of zone "lalitpur-b" started a request after the change was due to be in force
        And every engine of zone "kathmandu-a" started a request in the last 1000 ms
        And no guarantee was violated

        Examples:
            | fault                                             | seed |
            | 0 ms pass                                         | 1    |
            | the platform is down                              | 2    |
            | the platform is slow                              | 3    |
            | the platform serves stale reads                   | 4    |
            | instances 1,2,3 are cut off from the platform     | 5    |
            | instances 2,5 are cut off from peers and platform | 6    |
            | instances 2,5 are cut off from its peers          | 7    |
            | instances 1,2,3 are killed                        | 8    |

    Scenario: a withdrawn zone gets no new requests while messages are delayed and lost
        Given 7 instances and 6 engines with seed 9
        When the zone "lalitpur-b" is withdrawn
        And links delay messages by up to 1500 ms and lose 30 percent
        And every instance sends 2 requests to every engine every 200 ms for 9000 ms
        Then no engine of zone "lalitpur-b" started a request after the change was due to be in force
        And no guarantee was violated

    Scenario Outline: instances that were <fault> during the withdrawal of a zone start no requests there afterwards
        Given 7 instances and 6 engines with seed <seed>
        When instances 2,5 are <fault>
        And 200 ms pass
        And the zone "lalitpur-b" is withdrawn
        And 6000 ms pass
        And instances 2,5 are <after>
        And all connections are restored
        And every instance sends 2 requests to every engine every 200 ms for 6000 ms
        Then no engine of zone "lalitpur-b" started a request after the change was due to be in force
        And every live instance has configuration generation 2 in force

        Examples:
            | fault                           | after        | seed |
            | paused                          | resumed      | 11   |
            | cut off from peers and platform | left running | 12   |
            | killed                          | started      | 13   |

    Scenario: an instance that is cut off from its peers and the platform stops serving
        Given 7 instances and 6 engines with seed 14
        When instance 2 is cut off from peers and platform
        And 3500 ms pass
        Then instance 2 does not serve
        And instance 1 serves

    Scenario: a zone whose withdrawal is revoked gets requests again
        Given 7 instances and 6 engines with seed 15
        When the zone "lalitpur-b" is withdrawn
        And 5000 ms pass
        And the withdrawal of the zone "lalitpur-b" is revoked
        And every instance sends 1 request to every engine every 200 ms for 4000 ms
        Then every engine of zone "lalitpur-b" started a request in the last 1000 ms
