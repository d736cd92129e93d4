@platform
Feature: Decisions replayed under the load that each answers

    Scenario Outline: planned departures save more generations than copies all at once: <engines> engines with <runs> runs each
        When <engines> engines with <runs> runs each get 1700 ms of notice
        Then planned moves save at least <share> of the runs that fit, and more in time than copies all at once
        And 9 in 10 pauses of planned moves are under 180 ms

        Examples:
            | engines | runs | share |
            | 1       | 6    | 0.97  |
            | 2       | 5    | 0.97  |
            | 3       | 4    | 0.97  |
            | 1       | 9    | 0.9   |

    Scenario: instances that plan for different engines keep out of each other's way
        When 6 engines with 5 runs each leave 34 others, and each is planned by another instance
        Then 9 in 10 runs go on in time where the planners know of all engines, and fewer where they do not

    Scenario: a burst placed by memory preempts less than one placed by fewest requests
        When 60 generations come at once to 9 engines
        Then the fullest engine by memory holds less than by fewest requests

    Scenario Outline: long prompts wait less where placements are told at once: <rate> a second
        When 73 instances place <rate> generations a second on 40 engines
        Then 9 in 10 first tokens come within <share> of the time that digests at fixed spaces give
        And no more than <late> of the first tokens come after 1500 ms
        And no more than 1.25 times as many digests are sent

        Examples:
            | rate | share | late |
            | 47   | 0.75  | 0.01 |
            | 70   | 0.65  | 0.03 |

    Scenario: outputs that outgrow their estimates leave fewer runs preempted
        When 85 generations a second are placed, with outputs counted as they grow and without
        Then fewer runs are preempted where they are counted

    Scenario: an output that outgrows its estimate is counted as it is
        When a request of 3000 tokens with an estimate of 100 has made 500 tokens
        Then its engine counts at least 3500 tokens and peers are told with the next digest

    Scenario: counts of work are the sums of what is known of each peer
        When 300 peers send 2000 digests of 40 engines, some are lost and some go silent
        Then each engine counts the sum of the digests that still hold

    Scenario: a copy goes to an engine of the same zone unless that is much fuller
        When a run is copied from "zone-a" with engines of 2 zones
        Then it goes to "zone-a" while that engine is fuller by 0.2, and to "zone-b" by 0.6

    Scenario: old counts of plain requests draw no instance to the target that looks empty
        When 20 instances place 600 plain requests on 4 targets with digests that are 1 second old
        Then no target gets more than a third of them

    Scenario: a failing target that answers fast draws few requests
        When one of 3 targets fails at once for 600 requests
        Then it gets less than a sixth of them
        And it gets its share again 20 seconds after it recovered

    Scenario: repeats of all instances stay within the common budget
        When 8 instances see every request fail for 30 seconds
        Then no window of 10 seconds has more repeats than the budget

    Scenario Outline: requests of <instances> instances to a cold target stay within the common bound
        When <instances> instances place a burst on 1 cold target
        Then it gets no more in any second than the common bound

        Examples:
            | instances |
            | 8         |
            | 34        |
            | 73        |
            | 340       |

    Scenario: lapsed targets stay in use for two seconds after the store's return
        When the store returns without half of the targets
        Then they are in use until 2000 ms later and not after

    Scenario: a target that goes shortly after this instance regained the store gets nothing new at once
        When one target is no longer listed by an event 870 ms after the store was regained
        Then it is not open

    Scenario: many targets that go at once without notice stay in use for less than two seconds
        When half of 8 targets are no longer listed
        Then they are all in use for 1000 ms and gone before 2000 ms

    Scenario: runs are told at once of several targets that go without notice
        When 3 of 12 targets are no longer listed by one event
        Then each of them is told as missing at once, and a quarter is missing

    Scenario: a target that leaves gets nothing new at once
        When a target says that it leaves
        Then it is not open

    Scenario: a single removal without notice takes effect at once
        When one target is no longer listed
        Then it is not open

    Scenario Outline: a request that finds <waiting> waiting while <freed> places a second become free is told to <decision>
        When it has an objective of 1000 ms
        Then it is told to <decision> with <waiting> waiting and <freed> freed

        Examples:
            | waiting | freed | decision |
            | 0       | 10    | wait     |
            | 2       | 10    | wait     |
            | 30      | 10    | refuse   |
            | 0       | 0     | wait     |
            | 5       | 0     | refuse   |

    Scenario Outline: a request of an account with rank <account> on a route with rank <route> waits with rank <rank>
        When a route has the rank <route> and the account's rank is "<account>"
        Then a request of the account has the rank <rank>

        Examples:
            | route | account | rank |
            | 2     | none    | 2    |
            | 2     | 0       | 0    |
            | 0     | 3       | 3    |

    Scenario Outline: a configuration of <routes> routes is sent to <peers> peers <how>
        When a configuration of <routes> routes is told to <peers> peers
        Then it is sent <how>

        Examples:
            | routes | peers | how         |
            | 48     | 5     | whole       |
            | 48     | 8     | whole       |
            | 48     | 70    | as version  |
            | 310    | 3     | as version  |

    Scenario: refused callers come back spread out and within a third of their time
        When 200 callers with 6000 ms are refused with 50 waiting
        Then their times to come back differ and none is over 2 seconds

    Scenario Outline: a silent stream whose engine <engine> and that <repeat> is told to <action>
        When a stream is silent and its engine <engine>
        Then a stream that <repeat> is told to <action>

        Examples:
            | engine                            | repeat         | action |
            | does not answer                   | may repeat     | leave  |
            | does not answer                   | may not repeat | wait   |
            | has the request in its queue      | may repeat     | wait   |
            | does not know the request         | may repeat     | leave  |
            | does not know the request         | may not repeat | wait   |
            | is as far as what has arrived     | may repeat     | wait   |
            | is far ahead of what has arrived  | may repeat     | leave  |
            | is far ahead of what has arrived  | may not repeat | move   |

    Scenario Outline: of <instances> instances <watchers> watch the store when <case>
        When <instances> instances decide who watches and <case>
        Then <watchers> of them watch

        Examples:
            | instances | case                              | watchers |
            | 73        | all hear each other               | 3        |
            | 6         | all hear each other               | 3        |
            | 6         | nobody hears of a healthy watcher | 6        |
            | 6         | none hears another                | 6        |
            | 6         | one hears nobody                  | 4        |

    Scenario: events that are cut in any place come out whole and once
        When a stream of 20 events is cut into random pieces
        Then the events come out as they were
