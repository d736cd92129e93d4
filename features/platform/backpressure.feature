@platform @backpressure @leaving
Feature: Targets that ask for a pause, and targets that announce their shutdown in their answers

    A target that refuses a request with the status 503 may ask in "retry-after" for a pause, in which this instance is
    to send it nothing. A target that is about to shut down says so in the header "server-leaving" of all its answers.

    Scenario Outline: an answer with the status <status> and the headers "<headers>" is a notice: <notice>
        When a target answers with the status <status> and the headers "<headers>"
        Then its notice is "<notice>"

        Examples:
            | status | headers                        | notice        |
            | 503    | retry-after: 2                 | pause 2000 ms |
            | 503    | retry-after: 0.25              | pause 250 ms  |
            | 503    | retry-after: 0                 | pause 0 ms    |
            | 503    | retry-after: -1                | nothing       |
            | 503    | retry-after: 1e3               | nothing       |
            | 503    | retry-after: Fri, 04 Dec 2026  | nothing       |
            | 503    |                                | nothing       |
            | 429    | retry-after: 2                 | nothing       |
            | 200    | retry-after: 2                 | nothing       |
            | 200    | server-leaving: 1              | leaving       |
            | 503    | server-leaving: 1              | leaving       |
            | 200    | server-leaving: 0              | nothing       |
            | 421    | server-leaving: 1              | nothing       |

    Scenario: of several pauses the one that ends last holds
        When a target asks at 0 ms for 1000 ms, at 100 ms for 200 ms and at 300 ms for 900 ms
        Then it is paused until 1200 ms

    Scenario Outline: a burst sends nothing to a target of <service> that asked for a pause, and other targets serve it
        Given a serving site with 3 targets of each service
        When target 1 of "<service>" refuses its requests and asks for a pause of 1.5 seconds
        And 40 callers send a "<kind>" within 1200 ms
        Then all responses have the status 200
        And target 1 of "<service>" has received at most 2 requests later than 500 ms after its first refusal
        When its pause has ended and it accepts requests
        And 20 callers send a "<kind>" within 400 ms
        Then it has received some of them

        Examples:
            | service | kind    |
            | ledger  | stamp   |
            | engines | verdict |

    Scenario: if all targets of a service ask for a pause, requests are refused at once until the first pause ends
        Given a serving site with 3 targets of each service
        When all targets of "ledger" refuse their requests and ask for a pause of 1.2 seconds
        And 6 callers send a "stamp" within 100 ms
        And 10 callers send a "stamp" within 300 ms
        Then the last 10 of them were refused within 60 ms, as not run, with a retry after the end of the pause
        And no target of "ledger" has received more than 2 requests later than 500 ms after its first refusal
        When the pauses of "ledger" have ended and its targets accept requests
        And 5 callers send a "stamp" within 100 ms
        Then the last 5 of them have the status 200

    Scenario: a request waits for the end of a pause that is short beside its latency objective
        Given a serving site with 1 targets of each service
        When all targets of "engines" refuse their requests and ask for a pause of 0.2 seconds, once
        And 1 callers send a "verdict" within 10 ms
        And 1 callers send a "verdict" within 10 ms
        Then the last 1 of them have the status 200

    Scenario: a target that announces its shutdown in an answer gets no further requests from any instance
        Given a serving site with 2 instances
        When target 1 of "ledger" announces its shutdown in its answers
        And the instances have told each other
        And 20 callers send a "stamp" to all instances in turn
        Then all responses have the status 200
        And target 1 of "ledger" has received none of them

    Scenario: an instance that is heard of for the first time is told at once which targets leave
        Given a serving site
        When target 1 of "ledger" announces its shutdown in its answers
        And 4 peers send their first digests one after the other
        Then each of them has been told within 80 ms that target 1 of "ledger" leaves

    Scenario: the streams of an engine that announces its shutdown in an answer are moved
        Given a serving site whose engines send an event every 60 ms
        When a caller starts a "narrative"
        And its engine announces its shutdown only in its answers after 2 events
        Then the stream is whole and its events are in order
        And the generation was moved once

    Scenario: the announcement of an earlier start does not exclude the target after its restart
        When a target that announced its shutdown at start 1 is listed with start 2
        Then it accepts requests, and a late announcement of start 1 changes nothing
