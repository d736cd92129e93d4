@platform @broken-stream @response-ends
Feature: One decision on whether the end of a response is the end of its answer

    A response with a frame, a length or chunks, shows its end itself. One without ends with its connection, and only a
    target that runs on has closed that itself. "0/0" are the events of the response and the bytes after the last one.

    Scenario Outline: a response of <events> <traits> whose target is <presence> is <outcome>
        When a response with <events> and the traits "<traits>" ends, and its target is "<presence>" afterwards
        Then the decision on its end is "<outcome>"

        Examples:
            | events | traits                   | presence | outcome    |
            | 3/0    | framed in-order          | unknown  | complete   |
            | 3/0    | framed                   | running  | broken off |
            | 3/9    | framed in-order          | running  | broken off |
            | 0/0    | framed in-order          | running  | broken off |
            | 0/0    | framed in-order rest     | unknown  | complete   |
            | 0/0    | framed in-order full     | unknown  | complete   |
            | 3/0    | in-order                 | running  | complete   |
            | 3/0    | in-order                 | gone     | broken off |
            | 3/0    | in-order                 | replaced | broken off |
            | 3/0    | in-order                 | unknown  | unknown    |
            | 3/0    | in-order full            | gone     | complete   |
            | 3/0    | in-order stopped         | running  | broken off |
            | 3/9    | in-order full            | running  | broken off |
            | 3/0    | full                     | running  | broken off |
            | 0/0    | in-order                 | running  | broken off |
            | 0/0    | in-order rest            | running  | complete   |
            | 0/0    | in-order rest            | unknown  | unknown    |

    # A check that was sent before the end of a response shows nothing about the target after that end.
    Scenario: a response that ends while its target is checked for another one is decided by a check of its own
        When two responses of a target end one after the other, and the target ends between them
        Then the target was found "running" for the first and "gone" for the second

    Scenario: an answer without content needs no check of its target
        Given a serving site
        When the targets respond with "an answer without content" 1 times
        And a caller sends a "stamp"
        Then the response has the status 204 and is whole
        And no line tells of the end of a response

    # Guards against a success with an empty or short body that a caller takes for whole.
    Scenario Outline: a <kind> whose target stops inside a head with <frame> and <end> the connection gets no success
        Given a serving site with two raw targets of each service
        When callers send a "<kind>" each, and targets stop after each byte of a head with <frame> and <end> the connection
        Then no caller has received a success
        And some callers were told that the request may have run

        Examples:
            | kind      | frame    | end    |
            | stamp     | a length | closes |
            | stamp     | chunks   | closes |
            | stamp     | no frame | closes |
            | stamp     | no frame | resets |
            | lookup    | a length | closes |
            | lookup    | no frame | closes |
            | narrative | chunks   | closes |
            | narrative | no frame | closes |
            | narrative | no frame | resets |
            | verdict   | a length | closes |
            | verdict   | no frame | closes |
