@platform @quarantine-requests
Feature: Prompts that crash engines

    A prompt consists of parts, which the header "prompt-prefix" lists by identifier. The last part is the request's
    own; requests share the others. An engine may crash whenever it begins to answer a prompt with a certain part: it
    sends the head of its response and the start of an event, ends, and is back after two seconds. "contact" is the time
    within which instances have told each other, 3 seconds.

    Scenario Outline: the log shows how far an attempt at an engine got that ended with <fault>
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller sends a "verdict" with the headers
            | prompt-prefix | aa:50, CC:1,not a part,dd:x,bb:49 |
        Then the log line of the request lists the prompt parts "aa,cc,bb"
        And it says of its attempts "<attempts>"

        Examples:
            | fault                   | attempts                            |
            | a reset                 | no head, 0 events; head, 12 events  |
            | half an unframed answer | head, 0 events; head, 12 events     |
            | a failure               | head, 0 events; head, 12 events     |

    Scenario: the log lists the first of many prompt parts and their number
        Given a serving site
        When a caller sends a "verdict" whose prompt has 40 parts
        Then the log line of the request lists 12 prompt parts of 40

    Scenario: the log shows what a lost connection is evidence of, and whether its target still runs
        Given a serving site
        When the targets respond with "a reset" 1 times
        And a caller sends a "verdict" with the headers
            | prompt-prefix | aa:50,bb:49 |
        Then an instance has logged a lost connection with the evidence "cut" and the presence "running"

    Scenario: requests with one prompt part that crashes engines stop reaching engines
        Given a serving site with 3 instances and 6 engines
        When sound requests are sent to all instances for 1500 ms
        And requests with a part that crashes engines are sent beside them for 10000 ms
        Then at most 5 engines have ended
        And at most 3 requests with that part reached engines later than 3 seconds after the fifth crash
        And from 6 seconds after the fifth or last crash on at least half as many sound requests as before were served at the first attempt
        And the requests with that part were refused as not run in the last 4 seconds, and those refused reached no engine

    # A "summary" is a safe request to engines with a response that is no stream.
    Scenario Outline: a <kind> that has crashed an engine is not sent to another
        Given a serving site
        When a caller sends a "<kind>" with a prompt part that crashes engines
        Then 1 engine has ended
        And the log line of the request says that its only attempt has crashed the engine

        Examples:
            | kind      |
            | verdict   |
            | narrative |
            | summary   |

    Scenario: requests that are waiting for room when a part of their prompts is quarantined are not sent
        Given a serving site with 2 instances and 4 engines
        When sound requests are sent to all instances for 1500 ms
        And all targets of "engines" refuse their requests and ask for a pause of 0.3 seconds, once
        And 3 requests with a part that crashes engines wait at instance 1 for the end of these pauses, while 3 crash engines at instance 2
        Then 3 engines have ended
        And the waiting requests were refused because of the quarantine and reached no engine

    Scenario: a sound request is sent to another engine after its engine has crashed under a request with another part
        Given a serving site with 2 instances and 4 engines
        When sound requests are sent to all instances for 1500 ms
        And a sound request runs on each engine when a request with a part that crashes engines reaches one
        Then 1 engine has ended
        And all sound requests were served

    # An instance takes the end of all its targets for a partition until it learns of their new starts.
    Scenario: the crashes of all engines at once count once the engines are back
        Given a serving site with 1 instance and 2 engines, and no other targets
        When 2 requests with a part that crashes engines are sent at once, 4 times, each time when all engines are back
        Then at most 6 engines have ended
        And the last 2 of these requests were refused because of the quarantine

    # Only a complete answer clears a part: an engine may crash at any time after the head of its response.
    # Times in milliseconds from the head of the response; "-" if there was none.
    Scenario Outline: an attempt with the end "<kind>" at <end>, the head at <head> and the last event at <event> is evidence: <evidence>
        When an attempt has the end "<kind>" at <end>, the head at <head> and the last event at <event>
        Then it is evidence "<evidence>"

        Examples:
            | kind     | head | event | end  | evidence    |
            | complete | 0    | 50    | 60   | answered    |
            | complete | 0    | -     | 60   | none        |
            | failed   | 0    | -     | 30   | suspicious  |
            | failed   | 0    | -     | 2000 | suspicious  |
            | failed   | 0    | 100   | 299  | suspicious  |
            | failed   | 0    | 100   | 300  | interrupted |
            | failed   | 0    | 299   | 900  | interrupted |
            | failed   | 0    | 300   | 310  | interrupted |
            | failed   | -    | -     | 30   | cut         |
            | aborted  | 0    | -     | 30   | none        |
            | aborted  | 0    | 400   | 410  | none        |
            | other    | 0    | -     | 30   | none        |
            | other    | 0    | 400   | 410  | none        |
