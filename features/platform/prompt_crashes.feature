@platform @quarantine-requests
Feature: Prompts that crash engines

    A prompt consists of parts, which the header "prompt-prefix" lists by identifier. The last part is the request's
    own; requests share the others.

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
