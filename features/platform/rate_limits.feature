@platform @rate-limits
Feature: Targets that limit their request rate

    An overloaded target states in the header "server-limit" of its answers how many requests per second it takes from
    all instances together. The limit holds for as long as its answers state it.

    Scenario Outline: an answer with the status <status> and the limit "<limit>" states <statement>
        When a target answers with the status <status> and the limit "<limit>"
        Then it states the limit "<statement>"

        Examples:
            | status | limit | statement |
            | 200    | 2.6   | 2.6       |
            | 200    | 0     | 0         |
            | 503    | 12    | 12        |
            | 500    | 0.25  | 0.25      |
            | 421    | 2.6   | none      |
            | 200    |       | none      |
            | 200    | -1    | none      |
            | 200    | 1e3   | none      |
            | 200    | many  | none      |

    # Requests are written as LIMIT:SENT-HEARD@START, with times in milliseconds and the target's start.
    Scenario Outline: after the answers <answers> the limit of a target is <limit>
        When a target gives the answers "<answers>"
        Then its limit is "<limit>"

        Examples:
            | answers                      | limit |
            | 5:0-10@1                     | 5     |
            | none:0-10@1                  | none  |
            | 5:0-10@1 none:20-30@1        | none  |
            | 5:0-10@1 none:5-30@1         | 5     |
            | 5:0-10@1 3:5-30@1            | 3     |
            | 3:5-30@1 5:0-10@1            | 3     |
            | 5:0-10@1 none:20-30@1 4:5-15@1 | none  |
            | 5:0-10@1 none:20-30@1 4:25-40@1 | 4   |
            | 5:0-10@1 3:5-8@2             | 3     |

    Scenario: the log says when a target begins and ceases to limit its requests
        Given a serving site with 1 targets of each service
        When target 1 of "ledger" states a limit of "2.5" requests per second
        And 2 callers send a "stamp" within 10 ms
        Then instance 1 has logged "target limits requests" for target 1 of "ledger" with 2.5 requests per second
        When target 1 of "ledger" states no limit
        And 10 callers send a "stamp" within 1000 ms
        Then instance 1 has logged "target limit ended" for target 1 of "ledger"

    # "contact" is the time within which instances have told each other, 3 seconds. In 4 seconds a target may get one and
    # a half times what its limit allows, and 5 requests more.
    Scenario Outline: targets of <service> get no more requests than their limits allow from all instances together
        Given a serving site with 3 instances and 3 targets of each service
        When 30 requests of the kind "<kind>" per second are sent to all instances for 1500 ms
        And target 1 of "<service>" states a limit of "2.6" requests per second
        And target 2 of "<service>" states a limit of "4.2" requests per second
        And 30 requests of the kind "<kind>" per second are sent to all instances for 8000 ms
        Then target 1 of "<service>" got no more than its limit allows later than 3 seconds after its first statement
        And target 2 of "<service>" got no more than its limit allows later than 3 seconds after its first statement
        And all responses have the status 200
        When target 1 of "<service>" states no limit
        And 30 requests of the kind "<kind>" per second are sent to all instances for 4000 ms
        Then target 1 of "<service>" got at least 10 requests in the last 1500 ms

        Examples:
            | service | kind    |
            | ledger  | stamp   |
            | engines | verdict |

    Scenario: if all targets limit their request rate, what they do not take is refused at once
        Given a serving site with 3 instances and 2 targets of each service
        When all targets of "ledger" state a limit of "6" requests per second
        And 40 requests of the kind "stamp" per second are sent to all instances for 9000 ms
        Then target 1 of "ledger" got no more than its limit allows later than 3 seconds after its first statement
        And target 2 of "ledger" got no more than its limit allows later than 3 seconds after its first statement
        And in the last 3000 ms at least 24 requests were served
        And the others of the last 3000 ms were refused within 120 ms, as not run and with a time for the retry

    # "contact" is the time after the first statement from which the limits hold, in milliseconds; "-" is no limit.
    Scenario Outline: <instances> instances that get <rate> requests per second keep to the limits <limits> and use them
        When <instances> instances get <rate> requests per second for targets with the limits "<limits>"
        Then no target gets more than its limit allows later than <contact> ms after its first statement
        And the targets get at least <share> of what their limits allow, for all of 5 seeds
        And each target gets 5 requests per second again within 8 seconds after the end of its limit

        Examples:
            | instances | rate | limits          | contact | share |
            | 3         | 28   | 2.6 4.2 -       | 3000    | 0.7   |
            | 6         | 28   | 2.6 4.2 -       | 3000    | 0.7   |
            | 6         | 28   | 6 6 6           | 3000    | 0.7   |
            | 73        | 108  | 2.6 2.6 2.6 2.6 | 4000    | 0.7   |
            | 73        | 108  | 10 10 10 10     | 4000    | 0.7   |
            | 195       | 70   | 2.6 5 5 5 5     | 5000    | 0.3   |
            | 340       | 300  | 2.6 40 - 20     | 5000    | 0.3   |

    Scenario: instances that tell each other keep to a limit that each alone exceeds
        When 73 instances get 108 requests per second for targets with the limits "2.6 4.2 - -", and none tells the others
        Then a target gets more than its limit allows later than 4000 ms after its first statement
