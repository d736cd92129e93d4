@zone-out
Feature: A zone that operators have taken out receives no new work after three seconds

    Scenario Outline: a withdrawn zone gets no new work while <fault>
        Given 7 instances and 6 engines with seed <seed>
        When the zone "lalitpur-b" is withdrawn
        And <fault>
        And every instance asks for 2 pieces of work at every engine each 200 ms for 9000 ms
        Then no engine of zone "lalitpur-b" began work later than in force
        And engines of zone "kathmandu-a" began work in the last 1000 ms
        And no promise was broken

        Examples:
            | fault                                                     | seed |
            | 0 ms pass                                                 | 1    |
            | the platform is down                                      | 2    |
            | the platform is slow                                      | 3    |
            | the platform serves stale reads                           | 4    |
            | instances 1,2,3 are cut off from the platform             | 5    |
            | instances 2,5 are cut off from all                        | 6    |
            | instances 2,5 are cut off from its peers                  | 7    |
            | instances 1,2,3 are killed                                | 8    |

    Scenario: a withdrawn zone gets no new work while links stall and lose messages
        Given 7 instances and 6 engines with seed 9
        When the zone "lalitpur-b" is withdrawn
        And links delay messages by up to 1500 ms and lose 30 in 100
        And every instance asks for 2 pieces of work at every engine each 200 ms for 9000 ms
        Then no engine of zone "lalitpur-b" began work later than in force
        And no promise was broken

    Scenario Outline: instances that were <fault> during the withdrawal start nothing there afterwards
        Given 7 instances and 6 engines with seed <seed>
        When instances 2,5 are <fault>
        And 200 ms pass
        And the zone "lalitpur-b" is withdrawn
        And 6000 ms pass
        And instances 2,5 are <after>
        And all cuts are mended
        And every instance asks for 2 pieces of work at every engine each 200 ms for 6000 ms
        Then no engine of zone "lalitpur-b" began work later than in force
        And every live instance has generation 2 in force

        Examples:
            | fault            | after      | seed |
            | paused           | resumed    | 11   |
            | cut off from all | left alone | 12   |
            | killed           | started    | 13   |

    Scenario: an instance that is cut off from all stops to start work
        Given 7 instances and 6 engines with seed 14
        When instances 2 are cut off from all
        And 3500 ms pass
        Then instance 2 does not serve
        And instance 1 serves

    Scenario: a zone that returns gets work again
        Given 7 instances and 6 engines with seed 15
        When the zone "lalitpur-b" is withdrawn
        And 5000 ms pass
        And the zone "lalitpur-b" returns
        And every instance asks for 1 pieces of work at every engine each 200 ms for 4000 ms
        Then engines of zone "lalitpur-b" began work in the last 1000 ms
