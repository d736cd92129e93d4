@platform @restore @config @leaving @zone-out
Feature: The platform's store comes back from a copy that is some seconds old

    All that was written since the copy is gone, and revisions are given out again. Each restoration starts a new era of
    the store. What operators and targets had written is written again after a while.

    Scenario: a watch from a revision of an earlier era ends, although the revision was given out again
        Given a store with 3 objects that was listed, changed, restored and changed again
        When the listed kind is watched from the revision before the restoration
        Then the result of the call is "history-gone"

    Scenario: a reply of an earlier era that arrives after one of a later era is dropped
        When a reply of the store is delayed until the store was restored and listed again
        Then the delayed reply is dropped and the later one is used

    Scenario Outline: an accepted configuration stays in force after the store was restored <times> times <fault>
        Given a serving site with 3 instances
        When the store is copied
        And the operator writes configuration version 9 without the route "lookup"
        Then each instance has adopted configuration version 9 within 1500 ms
        When the store is restored from the copy <times> times <fault>
        Then a "lookup" of each instance still gets the status 404 after 800 ms
        When the operator writes configuration version 12 with all routes
        Then each instance has adopted configuration version 12 within 1500 ms

        Examples:
            | times | fault                           |
            | 1     | without an outage               |
            | 2     | without an outage               |
            | 1     | after an outage                 |
            | 1     | with the reply to a write lost  |

    Scenario: an instance that starts after a restoration learns the newer configuration from its peers before it is ready
        Given a serving site with 2 instances
        When the store is copied
        And the operator writes configuration version 9 without the route "lookup"
        Then each instance has adopted configuration version 9 within 1500 ms
        When the store is restored from the copy 1 times without an outage
        And another instance starts
        Then the new instance is ready within 1500 ms
        And the new instance has configuration version 9

    Scenario Outline: a target that <change> is not used again because the copy lists it as ready
        Given a serving site
        When the store is copied
        And target 1 of "ledger" <change>
        And the store is restored from the copy 1 times without an outage
        And the instances have seen the restored store
        And 12 callers send a "stamp" one after the other
        Then all responses have the status 200
        And target 1 of "ledger" has received none of them
        When target 1 of "ledger" starts again and writes its entry
        And 12 callers send a "stamp" one after the other
        Then target 1 of "ledger" has received some of them

        Examples:
            | change                                 |
            | reports its shutdown to the store      |
            | is removed from the store              |
            | announces its shutdown in its answers  |

    Scenario: a target that is missing from the copy is used for two seconds and then only if it has written its entry again
        Given a serving site
        When the store is copied
        And a further target of "ledger" starts
        And the store is restored from the copy 1 times without an outage
        Then all instances use 3 targets of "ledger" after 300 ms
        And all instances use 2 targets of "ledger" after 2500 ms
        When target 5 of "ledger" writes its entry again
        Then all instances use 3 targets of "ledger" after 300 ms

    Scenario: a zone whose evacuation is missing from the copy stays evacuated until it is written again
        Given a serving site with 2 instances
        When the store is copied
        And the operator evacuates "zone-a"
        Then a "stamp" gets the status 503 within 500 ms
        When the store is restored from the copy 1 times without an outage
        Then a "stamp" still gets the status 503 after 1500 ms
        When the operator evacuates "zone-a"
        And the instances have seen the restored store
        And the operator ends the evacuation of "zone-a"
        Then a "stamp" gets the status 200 within 500 ms

    Scenario: a zone whose evacuation is back in the copy is evacuated until the operator ends it again
        Given a serving site
        When the operator evacuates "zone-a"
        And the store is copied
        And the operator ends the evacuation of "zone-a"
        Then a "stamp" gets the status 200 within 500 ms
        When the store is restored from the copy 1 times without an outage
        Then a "stamp" gets the status 503 within 500 ms
        When the operator ends the evacuation of "zone-a"
        Then a "stamp" gets the status 200 within 500 ms

    Scenario: an evacuation that is missing from the copy ends when the operator has not written it for ten seconds
        When zones are evacuated, and a restored store does not list them
        Then they stay evacuated for 10000 ms and not longer

    Scenario: the instances write their registrations again
        Given a serving site without an instance
        When the store is copied
        And 2 instances start
        And the store is restored from the copy 1 times without an outage
        Then both instances are registered within 3500 ms

    Scenario: a conditional update with a version of an earlier era conflicts, although its revision was given out again
        When a value is written, the store is restored from a copy, and another value gets the same revision
        Then an update with the first version conflicts, a watch from it returns the other value, and its version is greater

    Scenario: messages of an instance that knows no eras and no leaving targets are understood
        When a digest without eras and leaving targets is received
        Then it counts as one of era 0 without leaving targets
