@platform @one-generation @leaving
Feature: Generations continue when their engine shuts down

    A running generation is moved to another engine by a first copy of its KV cache and a final copy of what was
    generated in the meantime; the step of the final copy is named "last" below. A "narrative" is a generation that is
    retried only if it has certainly not run, and a "verdict" is one that may be retried and resumed at another engine.

    # The status 0 closes the connection without a response.
    Scenario Outline: a narrative whose engine <event> is <end> if <step> copy fails with the status <status>
        Given a serving site with slow streams
        When <step> copy fails with the status <status>
        And a caller starts a "narrative"
        And its engine <event> after 3 events
        Then the stream is <end> and its events are in order
        And the request was started only once

        Examples:
            | event                     | step  | status | end        |
            | announces its shutdown    | no    | 200    | whole      |
            | is removed from the store | no    | 200    | whole      |
            | announces its shutdown    | first | 404    | whole      |
            | announces its shutdown    | first | 409    | whole      |
            | announces its shutdown    | first | 503    | whole      |
            | announces its shutdown    | first | 0      | whole      |
            | announces its shutdown    | last  | 404    | whole      |
            | announces its shutdown    | last  | 409    | whole      |
            | announces its shutdown    | last  | 503    | whole      |
            | announces its shutdown    | last  | 0      | whole      |
            | crashes                   | no    | 200    | broken off |

    Scenario: generations are moved from engines that are removed from the store together before these crash
        Given a serving site with 9 engines that send an event every 100 ms
        When a caller starts a "narrative"
        And its engine and two others are removed from the store after 3 events and crash 500 ms later
        Then the stream is whole and its events are in order
        And the request was started only once

    Scenario: a generation that its destination refuses continues at its source
        Given a serving site with slow streams
        When a caller starts a "narrative"
        And the other engine responds with "a misdirection" 1 times
        And its engine announces its shutdown after 3 events
        Then the stream is whole and its events are in order
        And the request was started only once

    Scenario: a verdict is resumed at another engine if its engine crashes
        Given a serving site with slow streams
        When a caller starts a "verdict"
        And its engine crashes after 3 events
        Then the stream is whole and its events are in order
