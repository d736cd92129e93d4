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
