@platform @own-answer @broken-stream
Feature: A stream that has broken off does not look complete to its caller

    A stream without a length and without chunks ends with its connection. A process that is killed, and an engine that
    stops a generation to move it, close the connection in the same way.

    Scenario Outline: a narrative whose engine sends <stream> is <end>
        Given a serving site
        When the targets respond with "<stream>" 1 times
        And a caller starts a "narrative"
        Then the stream is broken off and its events are in order

        Examples:
            | stream                                              | end        |
            | an unframed stream that ends before its first event | broken off |
            | an unframed stream that ends inside an event        | broken off |
            | an unframed stream that is reset after an event     | broken off |

    Scenario: a verdict whose engine ends an unframed stream before its first event is answered by another engine
        Given a serving site
        When the targets respond with "an unframed stream that ends before its first event" 1 times
        And a caller starts a "verdict"
        Then the stream is whole and its events are in order

    Scenario: a narrative whose engine ends its unframed stream after whole events because its process ends is broken off
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative"
        And its engine ends after 3 events
        Then the stream is broken off and its events are in order

    Scenario: a narrative whose unframed stream ends by a move with an unknown result is broken off
        Given a serving site with slow streams
        When the engines send streams without a length
        And the replies to final copies are lost
        And a caller starts a "narrative"
        And its engine announces its shutdown after 3 events
        Then the stream is broken off and its events are in order

    Scenario: a narrative whose unframed stream is moved is whole
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative"
        And its engine announces its shutdown after 3 events
        Then the stream is whole and its events are in order
        And the request was started only once

    # An instance that ends closes its callers' connections: only chunks show that a stream is not complete.
    Scenario: a whole stream without a length reaches its caller in chunks
        Given a serving site
        When the engines send streams without a length
        And a caller starts a "narrative"
        Then the stream is whole and its events are in order
        And the stream reached its caller in chunks
