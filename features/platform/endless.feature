@platform @endless
Feature: Bytes without end from a faulty target neither fill the memory nor block the instance

    A target may send bytes that are no response, without end, until the caller closes the connection. "lookup" is a safe
    request, "stamp" is an unsafe one, "narrative" is a generation that is not retried, and "verdict" is one that may be
    resumed at another engine.

    Scenario Outline: a <kind> whose target sends <fault> gets the status <status> and is <end>
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller sends a "<kind>" while others send a "<probe>"
        Then the last response has the status <status> and is <end>
        And the connection of each endless response is closed after at most <megabytes> MB
        And the probes were answered within 300 ms

        Examples:
            | kind      | fault                         | status | end        | megabytes | probe  |
            | lookup    | a status line without end     | 200    | whole      | 8         | stamp  |
            | lookup    | a head without end            | 200    | whole      | 8         | stamp  |
            | lookup    | a header without end          | 200    | whole      | 8         | stamp  |
            | lookup    | interim answers without end   | 200    | whole      | 8         | stamp  |
            | lookup    | a body without end            | 200    | whole      | 20        | stamp  |
            | lookup    | chunks without end            | 200    | whole      | 40        | stamp  |
            | lookup    | a chunk extension without end | 200    | whole      | 8         | stamp  |
            | lookup    | a chunk size without end      | 200    | whole      | 40        | stamp  |
            | lookup    | a trailer without end         | 200    | whole      | 8         | stamp  |
            | lookup    | a head that trickles          | 200    | whole      | 1         | stamp  |
            | stamp     | a head without end            | 502    | whole      | 8         | lookup |
            | stamp     | interim answers without end   | 502    | whole      | 8         | lookup |
            | stamp     | a body without end            | 502    | whole      | 20        | lookup |
            | stamp     | a trailer without end         | 502    | whole      | 8         | lookup |
            | verdict   | an event without end          | 200    | whole      | 8         | lookup |
            | verdict   | lines without end             | 200    | whole      | 8         | lookup |
            | verdict   | an event id without end       | 200    | whole      | 8         | lookup |
            | verdict   | bytes that are no events      | 200    | whole      | 8         | lookup |
            | verdict   | interim answers without end   | 200    | whole      | 8         | lookup |
            | verdict   | comments without end          | 200    | whole      | 8         | lookup |
            | verdict   | empty events without end      | 200    | whole      | 8         | lookup |
            | verdict   | repeated events without end   | 200    | whole      | 8         | lookup |
            | verdict   | comments now and then         | 200    | whole      | 1         | lookup |
            | verdict   | a byte now and then           | 200    | whole      | 1         | lookup |

    Scenario Outline: a narrative whose engine sends <fault> is broken off
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller sends a "narrative" while others send a "lookup"
        Then the caller has received no complete response
        And the connection of each endless response is closed after at most <megabytes> MB
        And the probes were answered within 300 ms

        Examples:
            | fault                       | megabytes |
            | a head without end          | 8         |
            | an event without end        | 8         |
            | bytes that are no events    | 8         |
            | comments without end        | 8         |
            | empty events without end    | 8         |
            | repeated events without end | 8         |
            | events without end          | 8         |
            | comments now and then       | 1         |
            | a byte now and then         | 1         |

    Scenario: endless bodies from several targets share one budget of memory
        Given a serving site with 6 targets of each service
        When the targets respond with "a body without end" 6 times
        And 6 callers send a "stamp"
        Then all responses have the status 502
        And the connection of each endless response is closed after at most 20 MB

    # Guards against an instance that runs out of memory, or has no time for others, when many targets are faulty at once.
    Scenario Outline: <count> requests at once of the kind <kind> whose targets send <fault> leave others in peace
        When <count> callers send a "<kind>" at once to targets that send "<fault>", and others a "<probe>"
        Then the instance runs on and has used at most the memory of the smallest machine
        And each of these requests has ended at most 1000 ms after its deadline
        And all others were answered

        Examples:
            | count | kind      | fault                    | probe   |
            | 800   | lookup    | a body without end       | verdict |
            | 800   | lookup    | bytes that are no events | verdict |
            | 800   | narrative | an event without end     | lookup  |
            | 800   | stamp     | a head without end       | verdict |
            | 60    | lookup    | chunks without end       | verdict |
            | 60    | narrative | chunks without end       | lookup  |
            | 800   | narrative | comments without end     | lookup  |
            | 800   | narrative | events without end       | lookup  |

    # Guards against comments that are written to a caller without waiting until it takes them, and against an engine whose
    # events occupy the instance.
    Scenario Outline: <count> callers that read <part> of streams whose engines send <fault> leave others in peace
        When <count> callers that read <part> send a "narrative" at once to targets that send "<fault>", and others a "lookup"
        Then the instance runs on and has used at most the memory of the smallest machine
        And all others were answered
        And the probes were answered within 300 ms

        Examples:
            | count | part    | fault                       |
            | 6     | all     | comments without end        |
            | 6     | all     | empty events without end    |
            | 6     | all     | repeated events without end |
            | 6     | all     | events without end          |
            | 6     | all     | large events without end    |
            | 20    | nothing | comments without end        |
            | 20    | nothing | repeated events without end |
            | 20    | nothing | events without end          |
            | 20    | nothing | large events without end    |

    Scenario: the time to split a stream grows no faster than its bytes
        When events of 100 KB and of 200 KB arrive in chunks of 100 bytes
        Then the larger one takes at most 6 times as long as the smaller one
