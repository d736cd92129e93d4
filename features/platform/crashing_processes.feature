@platform @crashing-processes
Feature: Prompt parts that crash engines stop reaching engines, whatever way the engines end

    Instances, engines and callers are real processes on real connections: bytes that a process has sent may never arrive
    when it ends. Each engine that runs a prompt with a certain part is killed, and is started again after some time. The
    part may be anywhere among those that requests share; the last part of a prompt is the request's own. Sound requests
    that share the other parts are sent all the time. A proxy before an engine accepts connections, and resets them while
    the engine is not running. "contact" is the time within which instances have told each other, 3 seconds.

    # All cases run side by side, each with engines of its own at the same instances.
    Scenario Outline: requests with a prompt part that ends engines <how> stop reaching engines, and sound ones are served
        When real processes serve requests with parts that crash engines, and sound ones beside them
        Then at most 3 requests with the part that ends engines "<how>" reached engines later than 3 seconds after the fifth crash
        And 9 in 10 sound requests beside them were served from 6 seconds after the fifth or last crash on
        And those with the part were refused as not run in the last 3 seconds

        Examples:
            | how                                                      |
            | before the head                                          |
            | long before the head                                     |
            | with the head                                            |
            | after the head, without an event                         |
            | after one event                                          |
            | in the middle of its events                              |
            | before the head, and they are back at once               |
            | before the head of a narrative                           |
            | before the head, after it was answered                   |
            | in the middle of its events, after it was answered       |

    # Guards against requests sent to an engine that is not running being taken for crashes of it.
    Scenario Outline: requests with a prompt part that ends engines <how> stop reaching engines behind proxies
        When real processes serve requests with parts that crash engines behind proxies, and sound ones beside them
        Then at most 3 requests with the part that ends engines "<how>" reached engines later than 3 seconds after the fifth crash
        And 9 in 10 sound requests beside them were served from 6 seconds after the fifth or last crash on
        And those with the part were refused as not run in the last 3 seconds

        Examples:
            | how                                                                 |
            | before the head, behind a proxy                                     |
            | in the middle of its events, behind a proxy, and they are back late |

    # Guards against crashes that leave no trace, since the request was no longer at the engine when it ended.
    Scenario Outline: requests with a prompt part that ends engines <how> stop reaching engines
        When real processes serve requests with parts that crash engines and whose callers leave, and sound ones beside them
        Then at most 3 requests with the part that ends engines "<how>" reached engines later than 3 seconds after the fifth crash
        And 9 in 10 sound requests beside them were served from 6 seconds after the fifth or last crash on
        And those with the part were refused as not run in the last 3 seconds

        Examples:
            | how                                          |
            | after their callers have left                |
            | after the head, when their callers have left |
