@config
Feature: An accepted configuration is in force on every live instance within three seconds and is never replaced by an older one

    Scenario Outline: a change is in force on every live one of <nodes> instances while <fault>
        Given <nodes> instances and 3 engines with seed <seed>
        When <fault>
        And the zone "lalitpur-b" is withdrawn
        And 3000 ms pass
        Then every live instance has configuration generation 2 in force
        And no guarantee was violated

        Examples:
            | nodes | fault                                                    | seed |
            | 8     | 0 ms pass                                                | 1    |
            | 8     | the platform is slow                                     | 2    |
            | 8     | instances 1,2,3 are cut off from the platform            | 3    |
            | 8     | the platform serves stale reads                          | 4    |
            | 8     | links delay messages by up to 300 ms and lose 20 percent | 5    |
            | 8     | instances 3,4 are killed                                 | 6    |
            | 60    | 0 ms pass                                                | 7    |

    Scenario: an instance that starts while the platform is down gets the newest configuration from its peers
        Given 8 instances and 3 engines with seed 11
        When instance 3 is killed
        And the zone "lalitpur-b" is withdrawn
        And 3000 ms pass
        And the platform is down
        And 3000 ms pass
        And instance 3 is started
        And 6000 ms pass
        Then every live instance has configuration generation 2 in force

    Scenario: an instance that starts while the platform serves stale reads does not adopt an older configuration
        Given 8 instances and 3 engines with seed 12
        When the zone "lalitpur-b" is withdrawn
        And 1000 ms pass
        And the zone "bhaktapur-c" is withdrawn
        And 1000 ms pass
        And the platform serves stale reads
        And instance 3 is killed
        And instance 3 is started
        And 8000 ms pass
        Then every live instance has configuration generation 3 in force
        And no guarantee was violated

    Scenario: an instance that was paused during several changes adopts the newest configuration
        Given 8 instances and 3 engines with seed 13
        When instance 2 is paused
        And the zone "lalitpur-b" is withdrawn
        And 1000 ms pass
        And the zone "bhaktapur-c" is withdrawn
        And 5000 ms pass
        And instance 2 is resumed
        And 1000 ms pass
        Then every live instance has configuration generation 3 in force
        And no guarantee was violated
