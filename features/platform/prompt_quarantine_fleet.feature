@platform @quarantine
Feature: Instances share what they know of crashing prompt parts, and a quarantine outlasts their restart

    Instances tell each other of crashes and quarantines in their digests. One instance keeps the quarantined parts in
    the platform's store, whose calls are priced: it lists them once between two restorations, and writes when a
    quarantine begins or ends. While two instances do not know yet which of them it is, both may do so.

    Scenario: crashes that two instances tell of add up, and all instances learn of the quarantine
        Given a serving site with 3 instances
        When the peer "a" tells instance 1 of crashes on the part "p" at the engines "e1 e2"
        And the peer "b" tells instance 1 of crashes on the part "p" at the engines "e2"
        And 300 ms have passed
        Then no instance holds a part in quarantine
        When the peer "b" tells instance 1 of crashes on the part "p" at the engines "e2 e3"
        Then all instances hold "p" in quarantine within 1000 ms
        And instance 1 has logged that "p" is quarantined after 3 crashes, because of "peer b"
        And instance 2 has logged that "p" is quarantined after 3 crashes, because of "peer instance-1"

    Scenario: an answer that one instance tells of ends the quarantine at all
        Given a serving site with 2 instances
        When 3 engines have crashed on the part "p"
        Then all instances hold "p" in quarantine within 1000 ms
        When the peer "b" tells all instances of answers on the part "p"
        Then no instance holds a part in quarantine after 300 ms
        And instance 2 has logged that "p" is released, because it was "answered"
        And the store has no quarantined part within 500 ms

    Scenario: an instance that restarts while the store is unreachable learns of the quarantine from a peer
        Given a serving site with 2 instances
        When 3 engines have crashed on the part "p"
        Then the store has the quarantined part "p" within 1000 ms
        When the store resets connections
        And another instance starts
        Then all instances hold "p" in quarantine within 1000 ms

    Scenario: instances that all restart learn of the quarantine from the store
        Given a serving site with 2 instances
        When 3 engines have crashed on the part "p"
        Then the store has the quarantined part "p" within 1000 ms
        When all instances stop, and 2 others start
        Then all instances hold "p" in quarantine within 1500 ms
        And the remaining time of the quarantine is between 590 and 600 seconds

    Scenario Outline: a quarantine that is missing from a restored store is written again by one of <instances> instances
        Given a serving site with <instances> instances
        When the store is copied
        And 3 engines have crashed on the part "p"
        Then the store has the quarantined part "p" within 1000 ms
        When the store is restored from the copy 1 times without an outage
        Then the store has the quarantined part "p" within 1500 ms
        And all instances hold "p" in quarantine within 0 ms
        And the quarantined parts were listed at most <listed> times, and written or removed at most <written> times

        Examples:
            | instances | listed | written |
            | 1         | 2      | 2       |
            | 2         | 4      | 4       |

    Scenario Outline: a quarantine that <instances> instances have ended before the store is restored stays ended
        Given a serving site with <instances> instances
        When 3 engines have crashed on the part "p"
        Then all instances hold "p" in quarantine within 1000 ms
        And the store has the quarantined part "p" within 1000 ms
        When the store is copied
        And the peer "b" tells all instances of answers on the part "p"
        Then the store has no quarantined part within 1000 ms
        When the store is restored from the copy 1 times without an outage
        Then the store has no quarantined part within 1500 ms
        And no instance holds a part in quarantine after 300 ms

        Examples:
            | instances |
            | 1         |
            | 2         |

    Scenario: the object of a quarantine is removed after its end
        Given a store with the quarantined parts
            | part | remaining ms | crashes |
            | p    | 1500         | 4       |
            | old  | -5000        | 3       |
        When 2 instances start
        Then all instances hold "p" in quarantine within 1000 ms
        And the store has no quarantined part within 2500 ms
        And no instance holds a part in quarantine after 100 ms
        And the quarantined parts were listed at most 2 times, and written or removed at most 4 times
        And instance 1 has logged that "p" is released, because it was "expired"

    Scenario: an unreadable object is logged, and the others are read
        Given a store with the quarantined parts
            | part | remaining ms | crashes    |
            | a    | 60000        | not number |
            | p    | 60000        | 3          |
        When 1 instances start
        Then all instances hold "p" in quarantine within 1000 ms
        And instance 1 has logged "store object unusable" for "a"

    Scenario Outline: a quarantine is written again after the store <fault> the first write
        Given a serving site
        When the store <fault> its next write
        And 3 engines have crashed on the part "p"
        And 3000 ms have passed
        Then the store has the quarantined part "p" within 0 ms
        And an instance has logged "quarantine not stored"
        And the quarantined parts were listed at most 1 times, and written or removed at most 3 times

        Examples:
            | fault              |
            | refuses            |
            | loses the reply to |

    Scenario: while nothing is quarantined, the first instance calls the store once for quarantined parts
        Given a serving site
        When 500 ms have passed
        And 2 instances start
        And 1500 ms have passed
        Then the quarantined parts were listed at most 1 times, and written or removed at most 0 times

    Scenario: messages of an instance that knows nothing of prompt parts are understood
        When a digest and a state without prompt parts are received
        Then they count as ones without evidence
