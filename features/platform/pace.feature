@platform @pace
Feature: Targets of different speed, whose machines turn slower for moments

    Targets state their load and the pace of their machine in answers. Where they do, they are compared by the time that a
    request takes there. The simulated engines of a service differ in speed: every fourth one takes 2.2 times as long as the
    others. A machine is 2.5 times slower for moments of 600 ms. "The former decision" compares targets by their load only.

    Scenario Outline: long streams beside checks on engines of unequal speed, <instances> instances
        When <instances> instances place long streams and checks on <engines> engines for <seconds> s
        Then at most <share> times as many long streams have a gap above 180 ms as with the former decision
        And the share of late first events grows by at most 0.01

        Examples:
            | instances | engines | seconds | share |
            | 6         | 6       | 30      | 0.5   |
            | 24        | 16      | 20      | 0.5   |
            | 84        | 57      | 20      | 0.4   |
            | 340       | 228     | 9       | 0.6   |

    Scenario Outline: plain calls to 4 targets that refuse when they are full, <instances> instances
        When <instances> instances send plain calls to 4 targets
        Then at most <late> times as many calls are late as with the former decision
        And at most <refused> times as many are refused

        Examples:
            | instances | late | refused |
            | 6         | 0.8  | 1       |
            | 24        | 0.8  | 1       |
            | 84        | 0.8  | 0.9     |
            | 340       | 0.9  | 0.9     |

    Scenario: engines that state no pace are selected exactly as before
        When 24 instances place requests on 16 engines that state no pace, with either decision
        Then both decisions have the same outcome

    Scenario Outline: engines of unequal speed whose figures <figures>
        When 24 instances place requests on 16 engines whose figures <figures>
        Then fewer long streams have a gap above 180 ms than with the former decision

        Examples:
            | figures              |
            | are lost for peers   |
            | state a pace of 1e12 |
            | state a pace of 0.01 |

    Scenario: an instance alone learns which engines are slow
        When 1 instances place requests on 4 engines whose figures are lost for peers
        Then fewer long streams have a gap above 180 ms than with the former decision

    Scenario Outline: plain calls to targets whose figures <figures>
        When 84 instances send plain calls to targets whose figures <figures>
        Then no target gets more than 0.35 of the calls
        And at most 1.1 times as many calls are refused as with the former decision

        Examples:
            | figures                |
            | are 0.5 s old          |
            | are 2 s old            |
            | are lost for peers     |
            | state 1e12 requests    |
            | state no requests      |

    Scenario: what was measured at one start of an engine does not count for the next
        When a peer tells of an engine that takes twice as long, and the engine restarts
        Then its steps are expected to take twice as long before the restart, and as long as usual after it

    Scenario: a stated pace counts for a call of 30 ms and hardly for a stream of 7 s
        When a target states a pace of 2.5
        Then the mean pace of the next 30 ms is above 2.4, and that of the next 7000 ms below 1.35

    # An event of the site's engines takes 15 ms, which is half of the usual time.
    Scenario: instances tell each other how fast engines are, and log the estimates behind their selections
        Given a serving site with 2 instances and 1 targets of each service
        When all targets state the load "1,0,8,100"
        And 8 narratives are sent to instance 1, and after 1500 ms 2 to instance 2
        Then instance 2 has placed the last one by a step factor below 0.7, and by a pace of 1 that is not old

    Scenario: digests with and without figures on pace are understood, and unusable figures are ignored
        Then a digest without figures on pace, one with them and one with unusable ones are understood

    Scenario: a new engine gets no long streams while it may be one of the slower ones
        When 8 of 10 engines have shown that their steps take 1 times as long as usual, and 2 that they take 2.2 times as long
        Then the step of a new engine is expected to take 1 times as long, and 2.2 times as long where gaps count
        And after the two events of 1 checks at the usual speed, less than 1.2 times as long where gaps count
