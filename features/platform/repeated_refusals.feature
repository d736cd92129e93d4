@platform @not-run @repeated-refusal
Feature: Refusals that a faulty target writes once more

    A target that refuses a request keeps the connection. A faulty one writes the refusal once more on it, in place of the
    response to a later request, which it runs. Only a refusal that certainly belongs to its request shows that the request
    did not run.

    # A copied refusal named the right request, if the same request was on the connection before.
    Scenario Outline: a <kind> that is sent again is not taken for refused if its <refusal> is written once more
        Given a serving site with 1 targets of each service
        When the targets respond with "a <refusal> with its name" 1 times
        And a caller sends a "<kind>"
        And the targets respond with "the refusal once more" 1 times
        And the caller sends the same "<kind>" again
        Then the response has the status 200 and is whole
        And the request ran 1 times and arrived at targets 2 times

        Examples:
            | kind      | refusal |
            | stamp     | 503     |
            | stamp     | 421     |
            | stamp     | 429     |
            | narrative | 503     |
            | verdict   | 503     |
            | lookup    | 503     |

    # An engine had resumed a generation that went on at its source as well.
    Scenario: a generation is not moved back if the engine that it is moved to writes its earlier refusal once more
        Given a serving site with slow streams
        When the targets respond with "a 503 with its name" 1 times
        And a caller starts a "narrative"
        And the other engine responds with "the refusal once more" 1 times
        And its engine announces its shutdown after 3 events
        Then the stream is whole and its events are in order
        And the request was started only once
        And the generation was moved once

    Scenario Outline: a <kind> that runs is not taken for refused if <refusal> is written once more
        Given a serving site with 1 targets of each service
        When a caller sends a "<kind>"
        And the targets respond with "<refusal>" 1 times
        And a caller sends a "<kind>"
        Then the response has the status 502 and is whole
        And the request ran 1 times and arrived at targets 1 times
        And the instance has logged that the response proves nothing, since it names <named>

        Examples:
            | kind      | refusal                                        | named           |
            | stamp     | an earlier refusal                             | no request      |
            | stamp     | an earlier refusal with another name           | another request |
            | stamp     | an earlier 421                                 | no request      |
            | stamp     | an earlier 429                                 | no request      |
            | stamp     | an earlier 408                                 | no request      |
            | narrative | an earlier refusal                             | no request      |
            | narrative | an earlier refusal with another name           | another request |
            | verdict   | an earlier refusal                             | no request      |
            | verdict   | an earlier refusal with another name           | another request |
            | lookup    | an earlier refusal                             | no request      |
            | lookup    | an earlier refusal with another name           | another request |

    # A copy without a name had paused its target, and a copied limit or shutdown notice would have been applied too.
    Scenario Outline: <refusal> that is written once more neither pauses nor limits its target
        Given a serving site with 1 targets of each service
        When a caller sends a "<kind>"
        And the targets respond with "<refusal>" 1 times
        And a caller sends a "<kind>"
        And a caller sends a "<kind>"
        Then the response has the status 200 and is whole

        Examples:
            | kind      | refusal                                          |
            | stamp     | an earlier refusal with another name and a pause |
            | stamp     | an earlier 503 with a pause                      |
            | narrative | an earlier 503 with a pause                      |
            | lookup    | an earlier 503 with a pause                      |

    Scenario: an answer that a refusal follows at once is whole
        Given a serving site with 1 targets of each service
        When the targets respond with "its answer and a refusal at once" 1 times
        And a caller sends a "stamp"
        Then the response has the status 200 and is whole
        When a caller sends a "stamp"
        Then the response has the status 200 and is whole

    Scenario Outline: a <refusal> that has arrived before the next request is written proves nothing about that request
        Given connections to a target that is driven byte by byte
        When a request "a" is answered, and its connection is kept
        And a <refusal> arrives in the moment before a request "b" is written
        Then the request "b" counts as sent, and it is known that <doubt>

        Examples:
            | refusal                              | doubt                              |
            | 503 without a name                   | the response names no request      |
            | 503 with the name "a"                | the response names another request |
            | 421 without a name                   | the response names no request      |
            | 429 with the name "a"                | the response names another request |
            | 503 without a name, and its answer   | the response names no request      |

    Scenario: a refusal that arrives before the whole request is written belongs to it, and the rest of the body follows
        Given connections to a target that is driven byte by byte
        When a request "a" with a body of 12 MB is refused with its name after the first bytes
        And the target reads on after 100 ms
        Then the request "a" counts as refused
        When a request "b" is answered, and its connection is kept
        Then each connection has brought whole requests, one after the other

    Scenario: a refusal of another request that arrives before the whole request is written ends the connection
        Given connections to a target that is driven byte by byte
        When a request "a" with a body of 12 MB is refused with another name after the first bytes
        And the target reads on after 100 ms
        Then the request "a" counts as sent, and it is known that the response names another request
        When a request "b" is answered, and its connection is kept
        Then the first connection has brought nothing but a part of the request "a"

    # Connections that were idle already were reused, so that each could fail a request that is not repeatable.
    Scenario: idle connections to a target are not reused after a response that proves nothing
        Given connections to a target that is driven byte by byte
        When requests "a" and "b" are answered at the same time, and their connections are kept
        And a 503 without a name arrives in the moment before a request "c" is written
        Then the request "c" counts as sent, and it is known that the response names no request
        When a request "d" is answered, and its connection is kept
        Then the target has accepted 3 connections

    Scenario: calls that control engines, and calls of the own interface's clients, have a connection each
        Given connections to a target that is driven byte by byte
        When the target refuses each of these calls with a 503 and keeps its connection
            | call               |
            | report             |
            | report             |
            | poll               |
            | move step          |
            | move step          |
            | release            |
            | service request    |
            | service request    |
            | engine stream      |
            | engine stream      |
            | engine cancelation |
        Then the target has accepted 11 connections

    # A target may keep its refusal apart from the connection, and write it on any other that is kept.
    Scenario: a request that its target has refused is not taken for refused if the copy arrives on another connection
        Given connections to a target that is driven byte by byte
        When requests "a" and "b" are answered at the same time, "a" by a refusal that ends its connection
        And a 503 with the name "a" arrives in the moment before a request "a" is written
        Then the request "a" is answered once its target answers

    Scenario: connections to a target are replaced before its refusals are forgotten
        Given connections to a target that is driven byte by byte
        When 600 requests are refused one after the other
        Then the target has accepted 2 connections
