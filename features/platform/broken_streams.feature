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
            | a response in chunks without an event               | broken off |
            | a response with the length 0                        | broken off |

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

    Scenario Outline: a whole narrative without a length is whole if its engine answers reports <fault>
        Given a serving site
        When the engines send streams without a length
        And the engines answer their reports <fault>
        And a caller starts a "narrative"
        Then the stream is whole and its events are in order

        Examples:
            | fault        |
            | late         |
            | with a reset |

    Scenario: a whole narrative without a length is whole if its engine has asked for a pause meanwhile
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative"
        And its engine refuses a verdict and asks for a pause of 5 s after 3 events
        Then the stream is whole and its events are in order

    Scenario Outline: a verdict that gets <stream> first is whole if it is resumed without a length
        Given a serving site
        When the engines send streams without a length
        And the targets respond with "<stream>" 1 times
        And a caller starts a "verdict"
        Then the stream is whole and its events are in order

        Examples:
            | stream                                       |
            | a whole stream without its last chunk        |
            | a whole stream without a length and a reset  |

    Scenario Outline: a whole narrative without a length is whole if the final copy fails with <status> and stops nothing
        Given a serving site with slow streams
        When the engines send streams without a length
        And last copy fails with the status <status>
        And a caller starts a "narrative"
        And its engine announces its shutdown after 3 events
        Then the stream is whole and its events are in order

        Examples:
            | status |
            | 0      |
            | 500    |

    Scenario: a whole narrative in chunks is whole if a reset comes with its last chunk
        Given a serving site
        When the targets respond with "a whole stream in chunks and a reset at once" 1 times
        And a caller starts a "narrative"
        Then the stream is whole and its events are in order

    Scenario Outline: a verdict that breaks off and whose resumption gets <answer> is broken off
        Given a serving site with slow streams
        When a caller starts a "verdict"
        And the other engine responds with "<answer>" 1 times
        And its engine crashes after 3 events
        Then the stream is broken off and its events are in order
        And both engines have received the request

        Examples:
            | answer                                              |
            | a failure                                           |
            | a failure that looks like a promise                 |
            | a refusal                                           |
            | a misdirection                                      |
            | no signature                                        |
            | an encoded body                                     |
            | another request's answer                            |
            | half an answer                                      |
            | a reset                                             |
            | no HTTP                                             |
            | an unframed stream that ends before its first event |
            | an unframed stream that ends inside an event        |
            | a response in chunks without an event               |
            | a response with the length 0                        |
            | an answer that is no stream                         |

    Scenario: a verdict that its caller resumes after the last event is complete
        Given a serving site
        When the engines send streams without a length
        And a caller resumes a "verdict" after event 12
        Then the response is complete within 1000 ms

    Scenario: a narrative that is called with HEAD is complete
        Given a serving site
        When the engines send streams without a length
        And a caller starts a "narrative" with the method "HEAD"
        Then the response is complete within 1000 ms

    Scenario: a narrative without a length is broken off if its instance ends
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative"
        And the instance ends after 3 events
        Then the stream is broken off and its events are in order

    # Its 12 events of 4 tokens are all 48 tokens that the caller allows, so no event can be missing.
    Scenario: a whole narrative without a length is whole if its engine ends right after its last event
        Given a serving site
        When the engines send streams without a length
        And each engine ends right after its first stream
        And a caller starts a "narrative"
        Then the stream is whole and its events are in order

    Scenario: a lookup without a length is not complete if its instance ends while it sends the response
        Given a serving site
        When the targets respond with "a long unframed answer" 1 times
        And a caller sends a "lookup" and the instance ends with the first bytes of the response
        Then the response has fewer than 7500000 bytes and is not complete

    Scenario Outline: a narrative without a length whose engine <event> after whole events is broken off
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative"
        And its engine <event> after 3 events
        Then the stream is broken off and its events are in order

        Examples:
            | event                      |
            | crashes                    |
            | is replaced at its address |
            | ends behind a gateway that answers in its place |
            | ends behind a proxy that accepts and resets connections |
            | breaks off and falls silent |
            | is replaced by a target of another service |

    Scenario: a verdict without a length whose engine breaks off and falls silent goes on at another engine
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "verdict"
        And its engine breaks off and falls silent after 3 events
        Then the stream is whole and its events are in order

    Scenario: a narrative whose engine breaks off and falls silent is broken off at its deadline
        Given a serving site with slow streams
        When the engines send streams without a length
        And a caller starts a "narrative" with a deadline of 500 ms
        And its engine breaks off and falls silent after 3 events
        Then the stream is broken off within 700 ms of its start

    Scenario: a verdict whose resumption leaves out an event is broken off
        Given a serving site with slow streams
        When resumed generations leave out an event
        And a caller starts a "verdict"
        And its engine crashes after 3 events
        Then the stream is broken off and its events are in order

    Scenario: a narrative whose destination leaves out an event is broken off
        Given a serving site with slow streams
        When resumed generations leave out an event
        And a caller starts a "narrative"
        And its engine announces its shutdown after 3 events
        Then the stream is broken off and its events are in order

    # A 200 that is no stream is an answer, as long as the caller has received nothing else.
    Scenario: a narrative that is answered with something else than a stream gets that answer
        Given a serving site
        When the targets respond with "an answer that is no stream" 1 times
        And a caller sends a "narrative"
        Then the response has the status 200 and is whole

    Scenario: a stream without a length of a service without engines is broken off if its target ends
        Given a serving site with slow streams
        When all targets send streams without a length
        And a caller starts a "bulletin"
        And its target ends after 3 events
        Then the stream is broken off and its events are in order

    Scenario: a narrative with neither a length nor chunks that names a transfer encoding is broken off if it has no event
        Given a serving site
        When the targets respond with "a stream without chunks that names the encoding identity and ends before its first event" 1 times
        And a caller starts a "narrative"
        Then the stream is broken off and its events are in order
