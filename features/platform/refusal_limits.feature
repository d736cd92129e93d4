@platform @refusal-limits
Feature: Targets that fall over when they refuse too many requests

    A target states in the header "server-brittle" of its answers how many requests per second it may refuse for want of
    room before it falls over, of all instances together.

    Scenario Outline: an answer with the status <status> and the bound "<bound>" states <statement>
        When a target answers with the status <status> and the bound on refusals "<bound>"
        Then it states the bound on refusals "<statement>", and no header of it is forwarded

        Examples:
            | status | bound | statement |
            | 200    | 3     | 3         |
            | 503    | 2.5   | 2.5       |
            | 421    | 3     | none      |
            | 200    |       | none      |
            | 200    | -1    | none      |

    Scenario: a digest of an instance that knows of no refusals is understood, and one of a target that has refused
        Then a digest without statements on refusals is understood
        And the statements on refusals of a digest are understood, with and without a refusal

    # Each target processes 8 requests at once and keeps 2 waiting, so that it answers 33 per second.
    Scenario: targets that survive 3 refusals in a second survive a burst beyond their room
        Given a serving site with 3 instances and 2 targets of each service
        When targets of "ledger" have room for 10 requests of 300 ms and survive 3 refusals in a second
        And 20 requests of the kind "stamp" per second are sent to all instances for 2000 ms
        Then all responses have the status 200
        When 100 requests of the kind "stamp" per second are sent to all instances for 6000 ms
        Then no target of "ledger" has fallen over
        And instance 1 has logged "target limits refusals" for target 1 of "ledger"
        And instance 2 has logged "target limits refusals" for target 2 of "ledger"
        And in the last 3000 ms at least 100 requests were served
        And the others of the last 3000 ms were refused within 200 ms, as not run and with a time for the retry

    Scenario: an instance that has had no refusal itself holds requests back at a target that has refused a peer's
        When a target refuses a request of a peer
        Then this instance sends it at most half as many requests in a second, and all again 7 seconds later

    # The overload begins at once. A target refuses some requests before the instances know of the first refusal.
    Scenario Outline: <instances> instances that get <overload> times what the targets process do not make them fall over
        When <instances> instances get <overload> times what targets process that survive 10 refusals in a second
        Then no target refuses more than it survives, for all of 5 seeds
        And the targets process at least <share> of what they can, for all of 5 seeds

        Examples:
            | instances | overload | share |
            | 6         | 1.2      | 0.85  |
            | 6         | 1.5      | 0.85  |
            | 73        | 1.2      | 0.5   |
            | 73        | 1.5      | 0.5   |
            | 195       | 1.2      | 0.45  |
            | 195       | 1.5      | 0.45  |
            | 340       | 1.2      | 0.4   |
            | 340       | 1.5      | 0.4   |

    # These do not hold yet: the instances learn too late of the first refusals.
    Scenario Outline: <instances> instances that get <overload> times what the targets process do not exceed <refusals> refusals
        When <instances> instances get <overload> times what targets process that survive <refusals> refusals in a second
        Then no target refuses more than it survives, for all of 5 seeds

        Examples:
            | instances | overload | refusals |
            | 73        | 1.5      | 5        |
            | 340       | 1.5      | 5        |
            | 73        | 2        | 10       |

    Scenario: instances that send whatever they get make targets fall over
        When 73 instances get 1.5 times what targets process that survive 10 refusals in a second, and ignore that
        Then a target refuses more than it survives
