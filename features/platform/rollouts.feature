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

    # Guards against a bad version that is completed, or gets requests after its verdict.
    Scenario: a version that fails from the beginning is rolled back
        Given a serving site with 3 instances that take rollouts
        When an operator orders the version "v2" of "ledger" within 30 s
        And 2 targets of the version "v2" of "ledger" start that answer with "a failure"
        And callers send 60 requests a second until the rollout has ended
        Then the status of the rollout is "rolled_back" for "v2"
        And the version "v2" gets nothing more
        And the version "v2" has got at most 0.1 of the requests and 50
