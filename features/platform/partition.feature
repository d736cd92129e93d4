@platform @partition
Feature: An instance that reaches no target serves its callers through other instances

    Callers, the store and the other instances still reach it. Its connections to targets are reset and new ones refused, or
    all are silent, or the open ones live on while new ones are refused.

    # second1 of issue 29: such instances served 0 of 46 requests, the others 172 of 172.
    Scenario Outline: instances whose connections to targets are <cut> serve as well as the others
        Given a serving site with 3 instances
        And callers send requests to all instances for 500 ms
        When the connections of instances 1 and 2 to targets are <cut>
        And callers send requests to all instances for 1500 ms
        And callers send requests to all instances for 1500 ms
        Then each instance has served at least 9 in 10 of the latest requests
        And no request has run twice, and none that was refused has run
        And no instance has seen a target end
        When the connections of instances 1 and 2 to targets work again
        And callers send requests to all instances for 1500 ms
        Then each instance has served at least 9 in 10 of the latest requests
        And all instances reach targets themselves

        Examples:
            | cut    |
            | reset  |
            | silent |
            | closed |

    # "a" and "b" are targets to which a connection has failed, "lost" and "reached" are results of checks; times are in
    # milliseconds.
    Scenario Outline: after <history> a request goes to <destination> at <time> ms
        When an instance has seen "<history>"
        Then a request with the random number <random> at <time> ms goes to <destination>

        Examples:
            | history                                          | time | random | destination |
            |                                                  | 10   | 0.99   | a target    |
            | lost@0                                           | 100  | 0      | a peer      |
            | lost@0 reached@500                               | 600  | 0      | a peer      |
            | lost@0 reached@500 reached@1000                  | 1000 | 0.12   | a target    |
            | lost@0 reached@500 reached@1000                  | 1000 | 0.13   | a peer      |
            | lost@0 reached@500 reached@1000                  | 1999 | 0.49   | a target    |
            | lost@0 reached@500 reached@1000                  | 1999 | 0.51   | a peer      |
            | lost@0 reached@500 reached@1000                  | 2750 | 0.99   | a target    |
            | lost@0 reached@500 reached@1000 a@1900           | 2000 | 0.1    | a target    |
            | lost@0 reached@500 reached@1000 a@1900 b@1950    | 2000 | 0      | a peer      |
            | lost@0 reached@500 reached@1000 a@3900 b@3950    | 4000 | 0.99   | a target    |
            | lost@0 reached@500 reached@1000 lost@1500        | 1600 | 0      | a peer      |
            | lost@0 reached@500 reached@1000 reached@2000     | 3000 | 0.99   | a target    |

    Scenario: an instance that reaches targets again takes its requests back in steps
        Given a serving site with 3 instances
        And callers send requests to all instances for 500 ms
        When the connections of instances 1 and 2 to targets are reset
        And callers send requests to all instances for 1500 ms
        And the connections of instances 1 and 2 to targets work again
        And callers send requests to all instances for 5000 ms
        Then each instance has served at least 9 in 10 of the latest requests
        And instances 1 and 2 have handed over some requests in the first 1000 ms after they regained targets
        And they have handed over none later than 2500 ms after that

    Scenario: a request whose targets have all ended is refused as not run
        Given a serving site with 3 instances
        When all targets end
        And callers send requests to all instances for 500 ms
        Then no request was served, and each is refused within 1500 ms

    # An instance of second1 quarantined a sound request, since refused connections looked like the ends of targets.
    Scenario: an instance that is cut from all targets in the middle of lookups does not take them for ended
        Given a serving site with 3 instances
        When the connections of instances 1 and 2 to targets are reset in the middle of 6 lookups
        Then no instance has seen a target end

    Scenario: an instance that stalls while it checks its targets does not count them as lost
        Given a serving site
        When targets are checked by an instance that stalls for 400 ms meanwhile
        Then the check has reached a target

    # Instances frame all responses that they send. One without a frame comes from something else at their address.
    Scenario: a response of another instance without a length or chunks does not look complete
        When a request is handed over to an address whose responses have neither a length nor chunks
        Then its response is not complete
