@cold-start
Feature: A target in cold start gets no more requests than its cold-start limit
    A target that has restarted is cold for some time and fails if it gets as many requests as a warm one.

    Scenario Outline: all instances send bursts to a restarted target while its owner is <fault>
        Given 7 instances and 3 engines with seed <seed>
        When every instance sends 3 requests of 4000 ms to engine 1
        And 500 ms pass
        And the owner of engine 1 is <fault>
        And <delay> ms pass
        And engine 1 restarts
        And 350 ms pass
        And every instance sends 5 requests of 900 ms to engine 1
        And 2000 ms pass
        And every instance sends 5 requests of 900 ms to engine 1
        And 2000 ms pass
        And all connections are restored
        And every instance sends 5 requests of 900 ms to engine 1
        And 2000 ms pass
        And instances 1,2,3,4,5,6,7 are resumed
        And every instance sends 5 requests of 900 ms to engine 1
        And 9000 ms pass
        And every instance sends 5 requests of 900 ms to engine 1
        And 3000 ms pass
        Then engine 1 never exceeded its cold-start limit
        And engine 1 started at least 4 requests
        And no guarantee was violated

        Examples:
            | fault                           | delay | seed |
            | left running                    | 0     | 1    |
            | left running                    | 700   | 2    |
            | killed                          | 0     | 3    |
            | killed                          | 3000  | 4    |
            | killed                          | 6500  | 5    |
            | paused                          | 0     | 6    |
            | paused                          | 5000  | 7    |
            | cut off from its peers          | 0     | 8    |
            | cut off from its peers          | 5000  | 9    |
            | cut off from peers and platform | 5000  | 10   |
            | cut off from the platform       | 2000  | 11   |
            | told to leave                   | 0     | 12   |
            | told to leave                   | 200   | 13   |

    Scenario Outline: requests of killed instances on a cold target still count towards its limit while <fault>
        Given 7 instances and 1 engines with seed <seed>, and engines that stay cold for 60 s
        When engine 1 restarts
        And 3000 ms pass
        And every instance but the owner sends 1 request of 50000 ms to engine 1
        And 1500 ms pass
        And the instances with requests on engine 1 are killed
        And <fault>
        And 10000 ms pass
        And every instance sends 2 requests of 500 ms to engine 1
        And 8000 ms pass
        And every instance sends 2 requests of 500 ms to engine 1
        And 3000 ms pass
        Then engine 1 never exceeded its cold-start limit
        And engine 1 started at least 1 request

        Examples:
            | fault                            | seed |
            | 0 ms pass                        | 21   |
            | engine 1 returns no load reports | 22   |
            | the owner of engine 1 is killed  | 23   |

    Scenario Outline: the withdrawal of a zone is revoked while all its targets are cold, seed <seed>
        Given 7 instances and 6 engines with seed <seed>
        When the zone "lalitpur-b" is withdrawn
        And 4000 ms pass
        And engine 2 restarts
        And engine 5 restarts
        And 400 ms pass
        And the withdrawal of the zone "lalitpur-b" is revoked
        And every instance sends 4 requests to every engine every 250 ms for 9000 ms
        Then engine 2 never exceeded its cold-start limit
        And engine 5 never exceeded its cold-start limit
        And every engine of zone "lalitpur-b" started a request in the last 1000 ms
        And no guarantee was violated

        Examples:
            | seed |
            | 31   |
            | 32   |
            | 33   |

    Scenario: a cold target gets no more requests than its limit while messages are delayed and lost
        Given 7 instances and 2 engines with seed 41
        When links delay messages by up to 2000 ms and lose 20 percent
        And engine 1 restarts
        And every instance sends 3 requests to every engine every 400 ms for 8000 ms
        Then engine 1 never exceeded its cold-start limit
        And no guarantee was violated
