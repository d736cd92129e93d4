@platform
Feature: Scheduling decisions of the serving process under simulated load

    An engine that leaves gets some notice before it shuts down; its running generations are moved to other engines by
    copying their KV cache. Instances send each other digests of the load that their requests put on each engine. A
    cold target has just started and accepts only a limited request rate. A plain request goes to a service whose
    targets are not engines.

    Scenario Outline: planned moves save more generations than simultaneous copies: <engines> engines with <generations> generations each
        When <engines> engines with <generations> generations each get 1700 ms of notice
        Then planned moves save at least <share> of the generations that can be saved, and more in time than simultaneous copies
        And 9 in 10 pauses of planned moves are under 180 ms

        Examples:
            | engines | generations | share |
            | 1       | 6           | 0.97  |
            | 2       | 5           | 0.97  |
            | 3       | 4           | 0.97  |
            | 1       | 9           | 0.9   |

    Scenario: instances that plan the moves of different engines do not compete for links if they know all leaving engines
        When 6 engines with 5 generations each leave, 34 others stay, and a different instance plans for each
        Then 9 in 10 generations move in time if the planners know all leaving engines, and fewer if they do not

    Scenario: a burst of generations puts fewer tokens on the fullest engine if placed by memory use than by number of requests
        When 60 generations arrive at once for 9 engines
        Then the fullest engine holds fewer tokens with placement by memory use than by number of requests

    Scenario Outline: long prompts wait less if digests are sent soon after a placement: <rate> generations a second
        When 73 instances place <rate> generations a second on 40 engines
        Then 9 in 10 first tokens arrive within <share> of the time that digests at fixed intervals give
        And no more than <late> of the first tokens arrive after 1500 ms
        And no more than 1.25 times as many digests are sent as at fixed intervals

        Examples:
            | rate | share | late |
            | 47   | 0.75  | 0.01 |
            | 70   | 0.65  | 0.03 |

    Scenario: counting output tokens as they arrive reduces preemptions by outputs that exceed their estimates
        When 85 generations a second are placed, with and without counting output tokens as they arrive
        Then fewer generations are preempted if output tokens are counted

    Scenario: an output that exceeds its estimate is counted with its actual length
        When a request with 3000 prompt tokens and an estimate of 100 output tokens has generated 500 tokens
        Then the load of its engine is at least 3500 tokens, and peers learn it from the next regular digest

    Scenario: the load of an engine is the sum of the peers' latest digests
        When 300 peers send 2000 digests of 40 engines, and some peers are lost or stop sending
        Then the load of each engine is the sum of the digests that have not expired

    Scenario: a generation is copied to an engine in its own zone unless that engine is much fuller
        When a generation is copied from "zone-a" and there are engines in 2 zones
        Then it is copied to "zone-a" if the engine there is fuller by 0.2, and to "zone-b" if it is fuller by 0.6

    Scenario: instances with outdated digests do not all choose the same target for plain requests
        When 20 instances place 600 plain requests on 4 targets with digests that are up to 1 second old
        Then no target gets more than a third of the requests

    Scenario: a target that fails without delay gets few requests
        When one of 3 targets fails without delay during 600 requests
        Then the failing target gets less than a sixth of the requests
        And it gets its share of the requests again 20 seconds after its recovery

    Scenario: retries of all instances stay within the shared budget
        When all requests of 8 instances fail for 30 seconds
        Then no window of 10 seconds has more retries than the budget

    # Guards against a first retry that stops the instance for seconds after hours in which no request has failed.
    Scenario: the time and the memory of a retry do not grow with the requests before it
        When a service has served 400000 requests in 15 hours without a retry
        Then its next retry is decided within 20 ms
        And a million further requests take at most 16 MB

    Scenario Outline: requests of <instances> instances to a cold target stay within the shared rate limit
        When <instances> instances send a burst of requests to 1 cold target
        Then the target gets no more requests in any second than the shared limit

        Examples:
            | instances |
            | 8         |
            | 34        |
            | 73        |
            | 340       |

    Scenario: targets whose entries have expired stay in use for two seconds after the store's recovery
        When the store recovers without the entries of half of the targets
        Then all targets are available until 2000 ms after the recovery, and then only the listed ones

    Scenario: a target that is removed shortly after the store's recovery gets no new requests
        When an event removes one target 870 ms after the store's recovery
        Then only the other target is available

    # Guards against an instance that was paused and hands a target that the others have removed back to them.
    Scenario Outline: a removed target does not come back with the list of an instance that was paused for <pause> ms
        Given an instance is paused for <pause> ms, and a target is removed <removal> ms after the start of the pause
        When it takes the pause for an outage, lists the store, and hands its list to the others
        Then no instance that has removed the target uses it again
        And one that was paused too drops it when the first one does, also if they exchange their lists again

        Examples:
            | pause  | removal |
            | 600    | -1500   |
            | 600    | 10      |
            | 600    | 599     |
            | 4000   | 1000    |
            | 4000   | 3999    |
            | 120000 | 1000    |

    # Guards against instances that do not watch the store and keep a target that has gone during an outage.
    Scenario: targets that are missing after an outage stay in use everywhere for two seconds, and come back if they are listed
        When one instance lists the store after an outage without half of the targets, and hands its list to others
        Then all instances use all targets until 2000 ms after the recovery, also one that has just started
        And targets that are listed again by then are used everywhere afterwards, and the others nowhere

    # Guards against a list of a build that does not tell which of its targets are missing.
    Scenario: an entry that is older than the removal of its target does not bring it back
        When an instance has removed a target and gets a list that has its old entry, without its missing targets
        Then it does not use the target until a newer entry is listed

    Scenario: targets that are removed together without notice stay in use for less than two seconds
        When one event removes half of 8 targets without notice
        Then all targets are available for 1000 ms, and the removed ones for less than 2000 ms

    Scenario: targets that are removed together without notice are reported to running requests at once
        When one event removes 3 of 12 targets without notice
        Then each removed target is reported as missing at once, and a quarter of the targets is missing

    Scenario: a target that announces its shutdown gets no new requests
        When a target announces its shutdown
        Then only the other target is available

    Scenario: a single target that is removed without notice gets no new requests
        When an event removes one target without notice
        Then only the other target is available

    Scenario Outline: with <queued> requests queued and <finished> finished a second, the decision on a request is to <decision>
        When a request has a latency objective of 1000 ms
        Then the decision is to <decision> with <queued> queued and <finished> finished a second

        Examples:
            | queued | finished | decision |
            | 0      | 10       | wait     |
            | 2      | 10       | wait     |
            | 30     | 10       | refuse   |
            | 0      | 0        | wait     |
            | 5      | 0        | refuse   |

    Scenario Outline: a request of an account with priority <account> on a route with priority <route> gets the priority <priority>
        When a route has the priority <route> and the account has the priority "<account>"
        Then a request of the account gets the priority <priority>

        Examples:
            | route | account | priority |
            | 2     | none    | 2        |
            | 2     | 0       | 0        |
            | 0     | 3       | 3        |

    # "whole": all routes are sent. "as version": only the version is sent, and each peer reads the routes from the store.
    Scenario Outline: a configuration of <routes> routes is sent to <peers> peers <how>
        When an instance announces a configuration of <routes> routes to <peers> peers
        Then the configuration is sent <how>

        Examples:
            | routes | peers | how         |
            | 48     | 5     | whole       |
            | 48     | 8     | whole       |
            | 48     | 70    | as version  |
            | 310    | 3     | as version  |

    Scenario: refused callers get different retry times, within a third of their remaining time
        When 200 callers with 6000 ms left are refused while 50 requests are queued
        Then their retry times differ and none is over 2 seconds

    # "wait" keeps waiting, "leave" abandons the attempt and retries at another engine, and "move" moves the running
    # generation to another engine.
    Scenario Outline: a silent stream that <retry> and whose engine <engine> gets the action <action>
        When a stream is silent and its engine <engine>
        Then a stream that <retry> gets the action <action>

        Examples:
            | engine                                     | retry              | action |
            | does not respond                           | may be retried     | leave  |
            | does not respond                           | may not be retried | wait   |
            | has the request in its queue               | may be retried     | wait   |
            | does not know the request                  | may be retried     | leave  |
            | does not know the request                  | may not be retried | wait   |
            | has generated about as much as has arrived | may be retried     | wait   |
            | has generated far more than has arrived    | may be retried     | leave  |
            | has generated far more than has arrived    | may not be retried | move   |

    Scenario Outline: <instances> instances elect <watchers> watchers of the store while <situation>
        When <instances> instances elect watchers of the store for 10 seconds while <situation>
        Then <watchers> of them watch the store at the end
        And at most <callers> of them have called it
        And nobody watched for at most <unwatched> ms

        Examples:
            | instances | situation                       | watchers | callers | unwatched |
            | 1         | all work                        | 1        | 1       | 0         |
            | 6         | all work                        | 2        | 2       | 0         |
            | 23        | all work                        | 2        | 2       | 0         |
            | 73        | all work                        | 2        | 2       | 0         |
            | 195       | all work                        | 2        | 2       | 0         |
            | 340       | all work                        | 2        | 2       | 0         |
            | 6         | the store refuses the first two | 2        | 4       | 1000      |
            | 195       | the store refuses the first two | 2        | 5       | 1000      |
            | 195       | the store refuses a third       | 2        | 5       | 1000      |
            | 6         | the first two are killed        | 2        | 4       | 2000      |
            | 195       | the first two are killed        | 2        | 5       | 2000      |
            | 195       | nobody hears the first one      | 3        | 4       | 0         |
            | 6         | no instance hears another       | 6        | 6       | 0         |

    Scenario: an outage of the store does not make all of 195 instances call it at once
        When 195 instances elect watchers of the store for 2 seconds while the store serves nobody
        Then at most 4 of them have called it

    Scenario: a changed address of a target in a list read from the store counts as a change for peers
        When a target changes only its address, and the store is listed
        Then the revision of the latest change is that of the list

    Scenario: a stream that arrives in arbitrary chunks is split into its events, each once
        When a stream of 20 events arrives in random chunks
        Then the chunks are split into the events that were sent
