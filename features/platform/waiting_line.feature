@platform @waiting-line
Feature: Requests beyond the capacity of all targets

    Services whose targets state their pace place every waiting request that fits, in an order, and refuse at once what
    cannot be served in time. "Before" is the decision that serves the head of a queue alone, on the same load.

    # Bursts of long answers (priority 0) and checks (priority 1), which fit where no long answer does.
    Scenario Outline: a burst of <overload> times the capacity at <instances> instances leaves long answers their part
        When <instances> instances get <overload> times what the engines process, for <seconds> s and the seeds "<seeds>"
        Then "long" requests are served in time at least 0.75 times as often as "check" requests, but not before

        Examples:
            | instances | overload | seconds | seeds       |
            | 24        | 1.7      | 5       | 1,2,3,4,5,6 |
            | 24        | 2.5      | 5       | 1,2,3,4     |
            | 84        | 2        | 4       | 1,2         |

    # Digests of 340 instances are 2.4 s apart, so that they know late which requests lack room.
    Scenario: a burst of 2.5 times the capacity at 340 instances leaves long answers a larger part than before
        When 340 instances get 2.5 times what the engines process, for 1 s and the seeds "1"
        Then "long" requests are served in time at least 0.4 times as often as "check" requests, but not before

    # Requests that a queue has no chance to place cost their callers time, which they could use to return.
    Scenario Outline: a burst of <overload> times the capacity at <instances> instances is refused early
        When <instances> instances get <overload> times what the engines process, for 8 s and the seeds "1,2,3"
        Then at most 0.1 of the refused requests were held beyond an eighth of their objective, but not before

        Examples:
            | instances | overload |
            | 6         | 1.7      |
            | 24        | 1.7      |

    Scenario: an account that sends 28 % of a burst does not displace the others
        When 24 instances get 2 times what the engines process, 0.28 of it from one account
        Then "small accounts" requests are served in time at least 0.8 times as often as "large account" requests
        And "long" requests are served in time at least 0.75 times as often as "check" requests, but not before

    Scenario: callers that return at once three times gain nothing by it
        When 24 instances get 2.5 times what the engines process, and 0.3 of the callers return at once three times
        Then "patient" requests are served in time at least 0.85 times as often as "hasty" requests, but not before

    Scenario: half of the callers shift to one zone, and no zone is left without service
        When 24 instances get 2 times what the engines process, 0.5 of it in one zone
        Then "other zones" requests are served in time at least 0.7 times as often as "first zone" requests
        And "first zone" requests are served in time at least 0.7 times as often as "other zones" requests
        And "long" requests are served in time at least 0.75 times as often as "check" requests, but not before

    Scenario: instances that hear nothing of what waits at others go by their own counts
        When 24 instances get 2 times what the engines process, and no statements of their peers
        Then as many requests are served in time as before, less 0.05 of all
        And at most 0.15 of the refused requests were held beyond an eighth of their objective

    Scenario: a request that fits does not wait behind one that does not
        When a large and a small request wait, and only the small one fits
        Then the small request is placed, but not where the head alone is served

    Scenario: small requests pass a large one six times at most
        When a large request waits and 20 small ones arrive that fit
        Then 6 of the small requests are placed before the large one

    Scenario: an instance of 84 without a release in the last second knows how fast the fleet frees capacity
        When an instance of 84 releases one of its requests every 1400 ms, and each holds its engine for 7 s
        Then it estimates the releases of the fleet within a factor of 1.5, although it sees none in a second

    Scenario: a caller that returns on time is known, also at another instance, and one that returns early is not preferred
        When a caller is refused and told to return after 1000 ms
        Then it counts as "early" after 700 ms, as "on time" after 850 ms and as "newcomer" after 7000 ms
        And at an instance that a digest has told, it counts as "on time" after 1000 ms
        And of 10000 refused callers at most 4096 are remembered

    Scenario: callers are told to return at different times within 0.3 of their remaining time
        When 200 callers with 6000 ms left are refused, at 10 requests per second
        Then they are told at least 150 different times, none above 1800 ms

    Scenario: digests without statements on waiting requests are understood, and malformed ones count as none
        Then a digest without and one with malformed statements on waiting requests are understood

    Scenario Outline: a queue of a service <paced> is woken by a release, and not looked at before
        Given a scheduler whose only target is full, of a service <paced>
        When a request waits for 120 ms until the target has room
        Then it is placed within 10 ms, and the targets were looked at no more than 5 times
        And no timer is left

        Examples:
            | paced         |
            | with pace     |
            | without pace  |
