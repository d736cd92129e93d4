@platform @rollout
Feature: A service's traffic is moved to another software version, or taken back from it

    An operator orders that the traffic of "ledger" be moved to a version whose targets start beside the old ones. At
    "completed" the old targets stop at once; at "rolled_back" the new ones do so after two seconds.

    # Guards against a good version that is never completed, or gets more than its share before that.
    Scenario: a good version is completed by its time limit
        Given a serving site with 3 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 8 s
        And 2 targets of the version "v2" of "ledger" start
        And callers send 60 requests a second until the rollout has ended
        Then the status of the rollout is "completed" for "v2"
        And the rollout has ended within 8 s
        And all requests are answered with 200
        And the version "v2" has got at most 0.1 of the requests and 50

    # Guards against streams that go on at another version, or that are sent to old targets until these stop.
    Scenario: streams go on only at the version that began them while a good version is completed
        Given a serving site with 2 instances and 2 engines that take rollouts
        When an operator orders the version "v2" of "engines" within 8 s
        And 2 targets of the version "v2" of "engines" start
        And callers send 40 verdicts a second until the rollout has ended
        Then the status of the rollout is "completed" for "v2"
        And all requests are answered with 200
        And no response holds events of two versions
        And the version "v2" has got at most 0.1 of the requests and 50

    # Guards against a bad version that is completed, or gets requests after its verdict.
    Scenario: a version that fails from the beginning is rolled back
        Given a serving site with 3 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 30 s
        And 2 targets of the version "v2" of "ledger" start that answer with "a failure"
        And callers send 60 requests a second until the rollout has ended
        Then the status of the rollout is "rolled_back" for "v2"
        And the version "v2" gets nothing more
        And the version "v2" has got at most 0.1 of the requests and 50

    # Guards against a verdict that is lost with the store: the status follows, and requests stop without it.
    Scenario Outline: a version that fails is rolled back although <trouble>
        Given a serving site with 3 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 12 s
        And 2 targets of the version "v2" of "ledger" start that answer with "a failure"
        And <trouble>
        And callers send 60 requests a second until the rollout has ended
        Then the status of the rollout is "rolled_back" for "v2"
        And the version "v2" gets nothing more
        And the version "v2" has got at most 0.1 of the requests and 50

        Examples:
            | trouble                                     |
            | the store is down for 4 s                   |
            | the store loses the replies to its 3 writes |
            | all instances restart after 1 s             |

    # Guards against an order that gets no status, or that ends the process.
    Scenario Outline: an order with <order> is rolled back
        Given a serving site with 1 instance that take rollouts
        When an operator writes the order <order>
        And callers send 30 requests a second until the rollout has ended
        Then the status of the rollout is "rolled_back" for "v2"
        And the version "v2" has got none of the requests
        And all requests are answered with 200

        Examples:
            | order                                                         |
            | {"service": "ledger", "target": "v2", "duration_s": 0}        |
            | {"service": "ledger", "target": "v2", "duration_s": "soon"}   |
            | {"service": "ledger", "target": "v2", "duration_s": -5}       |
            | {"service": "ledger", "target": "v2", "duration_s": 2}        |
            | {"service": "nothing", "target": "v2", "duration_s": 2}       |

    Scenario: an order that cannot be decoded is logged and changes nothing
        Given a serving site with 1 instance that take rollouts
        When an operator writes the order {"service": 7, "duration_s": 9}
        And callers send 30 requests a second for 1 s
        Then the first instance logs "store object unusable"
        And all requests are answered with 200

    # Guards against requests to a version whose order is withdrawn, replaced, or not known yet.
    Scenario: a version gets nothing after its order was withdrawn
        Given a serving site with 2 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 20 s
        And 2 targets of the version "v2" of "ledger" start
        And callers send 60 requests a second for 2 s
        And the operator withdraws the order
        And callers send 60 requests a second for 2 s
        Then the version "v2" has got nothing in the last 1500 ms
        And all requests are answered with 200

    Scenario: another order for the service replaces the first one
        Given a serving site with 2 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 20 s
        And 2 targets of the version "v2" of "ledger" start that answer with "a failure"
        And callers send 30 requests a second for 1 s
        And an operator orders the version "v3" of "ledger" within 6 s
        And 2 targets of the version "v3" of "ledger" start
        And callers send 60 requests a second until the rollout has ended
        Then the status of the rollout is "completed" for "v3"
        And the rollout has ended within 6 s

    Scenario: targets of a version that starts without an order get requests after a moment
        Given a serving site with 2 instances that take rollouts
        When callers send 60 requests a second for 2 s
        And 1 targets of the version "v2" of "ledger" start
        And callers send 60 requests a second for 3 s
        Then the version "v2" has got nothing in the first 1200 ms
        And the version "v2" has got some of the requests

    # Guards against a service without any target, since its only version counts as the new one.
    Scenario: an order for the only version of a service changes nothing
        Given a serving site with 1 instance that take rollouts
        When an operator writes the order {"service": "ledger", "target": "v1", "duration_s": 7}
        And callers send 30 requests a second until the rollout has ended
        Then the status of the rollout is "completed" for "v1"
        And all requests are answered with 200

    # Guards against a restored store that shows a rollout as running although its targets have stopped.
    Scenario: the status is written again to a store that was restored from an older copy
        Given a serving site with 2 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 20 s
        And 2 targets of the version "v2" of "ledger" start that answer with "a failure"
        And the store is copied after 300 ms
        And callers send 60 requests a second until the rollout has ended
        And the store goes back to the copy
        And callers send 60 requests a second for 2 s
        Then the status of the rollout is "rolled_back" for "v2"
