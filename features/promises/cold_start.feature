@cold-start
Feature: A target in cold start is given no more than it can bear

    Scenario Outline: all instances burst at a target that has restarted while <fault>
        Given 7 instances and 3 engines with seed <seed>
        When every instance asks for 3 pieces of work of 4000 ms at engine 1
        And 500 ms pass
        And the owner of engine 1 is <fault>
        And <delay> ms pass
        And engine 1 restarts
        And 350 ms pass
        And every instance asks for 5 pieces of work of 900 ms at engine 1
        And 2000 ms pass
        And every instance asks for 5 pieces of work of 900 ms at engine 1
        And 2000 ms pass
        And all cuts are mended
        And every instance asks for 5 pieces of work of 900 ms at engine 1
        And 2000 ms pass
        And instances 1,2,3,4,5,6,7 are resumed
        And every instance asks for 5 pieces of work of 900 ms at engine 1
        And 9000 ms pass
        And every instance asks for 5 pieces of work of 900 ms at engine 1
        And 3000 ms pass
        Then engine 1 never held more than it bears while cold
        And engine 1 began at least 4 pieces of work
        And no promise was broken

        Examples:
            | fault                     | delay | seed |
            | left alone                | 0     | 1    |
            | left alone                | 700   | 2    |
            | killed                    | 0     | 3    |
            | killed                    | 3000  | 4    |
            | killed                    | 6500  | 5    |
            | paused                    | 0     | 6    |
            | paused                    | 5000  | 7    |
            | cut off from its peers    | 0     | 8    |
            | cut off from its peers    | 5000  | 9    |
            | cut off from all          | 5000  | 10   |
            | cut off from the platform | 2000  | 11   |
            | told to leave             | 0     | 12   |
            | told to leave             | 200   | 13   |

    Scenario Outline: work that killed instances leave at a cold target still counts while <fault>
        Given 7 instances and 1 engines with seed <seed>, and engines that stay cold for 60 s
        When engine 1 restarts
        And 3000 ms pass
        And every instance but the owner asks for 1 piece of work of 50000 ms at engine 1
        And 1500 ms pass
        And the instances whose work engine 1 holds are killed
        And <fault>
        And 10000 ms pass
        And every instance asks for 2 pieces of work of 500 ms at engine 1
        And 8000 ms pass
        And every instance asks for 2 pieces of work of 500 ms at engine 1
        And 3000 ms pass
        Then engine 1 never held more than it bears while cold
        And engine 1 began at least 1 pieces of work

        Examples:
            | fault                           | seed |
            | 0 ms pass                       | 21   |
            | engine 1 gives no load reports  | 22   |
            | the owner of engine 1 is killed | 23   |

    Scenario Outline: a zone returns with all its targets cold, seed <seed>
        Given 7 instances and 6 engines with seed <seed>
        When the zone "lalitpur-b" is withdrawn
        And 4000 ms pass
        And engine 2 restarts
        And engine 5 restarts
        And 400 ms pass
        And the zone "lalitpur-b" returns
        And every instance asks for 4 pieces of work at every engine each 250 ms for 9000 ms
        Then engine 2 never held more than it bears while cold
        And engine 5 never held more than it bears while cold
        And engines of zone "lalitpur-b" began work in the last 1000 ms
        And no promise was broken

        Examples:
            | seed |
            | 31   |
            | 32   |
            | 33   |

    Scenario: links that stall and lose messages do not let more through
        Given 7 instances and 2 engines with seed 41
        When links delay messages by up to 2000 ms and lose 20 in 100
        And engine 1 restarts
        And every instance asks for 3 pieces of work at every engine each 400 ms for 8000 ms
        Then engine 1 never held more than it bears while cold
        And no promise was broken
