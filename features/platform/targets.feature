@platform @own-answer @not-run
Feature: Responses to callers when a target fails

    A "lookup" is a safe request to a plain service, and a "stamp" is an unsafe one, which is retried only if it has
    certainly not run. A "narrative" is a generation that is retried only if it has certainly not run, and a "verdict"
    is one that may be retried and resumed at another engine.

    # "a failure" is a response with the status 500, and "a misdirection" is one with the status 421. "a refusal" is a
    # 503 with the header "not-executed", which guarantees that the request did not run, and "a failure that looks like a
    # promise" is a 503 without that header. A response with "no signature" lacks the header "response-seal". An unframed
    # response has neither a length nor chunked encoding, and ends with its connection.
    # The column "runs" counts how often the request ran, and "arrivals" how often it arrived at a target.
    Scenario Outline: a <kind> whose targets respond with <fault> <times> times gets the status <status> after <runs> runs
        Given a serving site
        When the targets respond with "<fault>" <times> times
        And a caller sends a "<kind>"
        Then the response has the status <status> and is <whole>
        And the request ran <runs> times and arrived at targets <arrivals> times

        Examples:
            | kind   | fault                               | times | status | whole     | runs | arrivals |
            | lookup | ok                                  | 0     | 200    | whole     | 1    | 1        |
            | lookup | a failure                           | 1     | 200    | whole     | 1    | 2        |
            | lookup | a failure                           | 2     | 500    | whole     | 0    | 2        |
            | lookup | a refusal                           | 1     | 200    | whole     | 1    | 2        |
            | lookup | a misdirection                      | 1     | 200    | whole     | 1    | 2        |
            | lookup | another request's answer            | 1     | 200    | whole     | 1    | 2        |
            | lookup | no signature                        | 1     | 200    | whole     | 1    | 2        |
            | lookup | an encoded body                     | 1     | 200    | whole     | 1    | 2        |
            | lookup | half an answer                      | 1     | 200    | whole     | 1    | 2        |
            | lookup | half an unframed answer             | 1     | 200    | whole     | 1    | 2        |
            | lookup | half an unframed answer and a reset at once | 1 | 200 | whole | 1 | 2 |
            | lookup | an unframed answer                  | 1     | 200    | whole     | 0    | 1        |
            | lookup | no HTTP                             | 1     | 200    | whole     | 1    | 2        |
            | lookup | an upgrade that nobody requested    | 1     | 200    | whole     | 1    | 2        |
            | lookup | a reset                             | 1     | 200    | whole     | 1    | 2        |
            | lookup | silence                             | 1     | 200    | whole     | 1    | 2        |
            | stamp  | a failure                           | 1     | 500    | whole     | 0    | 1        |
            | stamp  | a failure that looks like a promise | 1     | 502    | whole     | 0    | 1        |
            | stamp  | a refusal                           | 1     | 200    | whole     | 1    | 2        |
            | stamp  | a misdirection                      | 1     | 200    | whole     | 1    | 2        |
            | stamp  | another request's answer            | 1     | 502    | whole     | 0    | 1        |
            | stamp  | no signature                        | 1     | 502    | whole     | 0    | 1        |
            | stamp  | half an answer                      | 1     | 502    | whole     | 0    | 1        |
            | stamp  | half an unframed answer             | 1     | 502    | whole     | 0    | 1        |
            | stamp  | half an unframed answer and a reset at once | 1 | 502 | whole | 0 | 1 |
            | stamp  | no HTTP                             | 1     | 502    | whole     | 0    | 1        |
            | stamp  | an upgrade that nobody requested    | 1     | 502    | whole     | 0    | 1        |
            | stamp  | a reset                             | 1     | 502    | whole     | 0    | 1        |
            | stamp  | silence                             | 1     | 504    | whole     | 0    | 1        |
            | verdict | a failure                          | 1     | 200    | whole     | 1    | 2        |
            | verdict | a reset                            | 1     | 200    | whole     | 1    | 2        |
            | verdict | an upgrade that nobody requested   | 1     | 200    | whole     | 1    | 2        |
            | verdict | silence                            | 1     | 200    | whole     | 1    | 2        |
            | narrative | a refusal                        | 1     | 200    | whole     | 1    | 2        |
            | narrative | a reset                          | 1     | 502    | whole     | 0    | 1        |
            | narrative | an upgrade that nobody requested | 1     | 502    | whole     | 0    | 1        |
            | narrative | no signature                     | 1     | 502    | whole     | 0    | 1        |

    # Guards against a caller without an answer, or with one whose status is none, if a target states no valid status.
    Scenario Outline: a <kind> whose target answers with <fault> gets the status <status> after <arrivals> arrivals
        Given a serving site
        When the targets respond with "<fault>" <count> times
        And a caller sends a "<kind>"
        Then the response has the status <status> and is <whole>
        And the request ran <runs> times and arrived at targets <arrivals> times

        Examples:
            | kind | fault | count | status | whole | runs | arrivals |
            | lookup | the status 000 | 1 | 200 | whole | 2 | 2 |
            | stamp | the status 000 | 1 | 502 | whole | 1 | 1 |
            | verdict | the status 000 | 1 | 200 | whole | 2 | 2 |
            | narrative | the status 000 | 1 | 502 | whole | 1 | 1 |
            | lookup | the status 001 | 1 | 200 | whole | 2 | 2 |
            | stamp | the status 001 | 1 | 502 | whole | 1 | 1 |
            | verdict | the status 001 | 1 | 200 | whole | 2 | 2 |
            | narrative | the status 001 | 1 | 502 | whole | 1 | 1 |
            | lookup | the status 099 | 1 | 200 | whole | 2 | 2 |
            | stamp | the status 099 | 1 | 502 | whole | 1 | 1 |
            | verdict | the status 099 | 1 | 200 | whole | 2 | 2 |
            | narrative | the status 099 | 1 | 502 | whole | 1 | 1 |
            | lookup | the status 600 | 1 | 200 | whole | 2 | 2 |
            | stamp | the status 600 | 1 | 502 | whole | 1 | 1 |
            | verdict | the status 600 | 1 | 200 | whole | 2 | 2 |
            | narrative | the status 600 | 1 | 502 | whole | 1 | 1 |
            | lookup | the status 999 | 1 | 200 | whole | 2 | 2 |
            | stamp | the status 999 | 1 | 502 | whole | 1 | 1 |
            | verdict | the status 999 | 1 | 200 | whole | 2 | 2 |
            | narrative | the status 999 | 1 | 502 | whole | 1 | 1 |

    # Guards against a success with an empty body: bytes after a whole answer belong to no request and do not affect it.
    Scenario Outline: a <kind> whose target sends <fault> gets the whole answer
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller sends a "<kind>"
        Then the response has the status 200 and is whole
        And the body of the response is the target's whole answer
        And the request ran 1 times and arrived at targets 1 times

        Examples:
            | kind      | fault                                                |
            | stamp     | its answer and other bytes at once                   |
            | stamp     | its answer in chunks and other bytes at once         |
            | lookup    | its answer and other bytes at once                   |
            | summary   | its answer and other bytes at once                   |
            | narrative | a whole stream and other bytes at once               |
            | narrative | a whole stream with a length and other bytes at once |
            | verdict   | a whole stream and other bytes at once               |

    # Guards against a body that goes on with another response, if a target breaks off its answer and then repeats it.
    Scenario Outline: a <kind> whose target sends <fault> gets the status <status> after <arrivals> arrivals
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller sends a "<kind>"
        Then the response has the status <status> and is whole
        And the request ran <runs> times and arrived at targets <arrivals> times

        Examples:
            | kind    | fault                                             | status | runs | arrivals |
            | lookup  | the start of its answer and all of it             | 200    | 1    | 2        |
            | lookup  | the start of a longer answer and all of it        | 200    | 1    | 2        |
            | lookup  | the start of a longer answer and an earlier one   | 200    | 1    | 2        |
            | lookup  | the start of an answer in chunks and all of it    | 200    | 1    | 2        |
            | lookup  | the start of an unframed answer and all of it     | 200    | 1    | 2        |
            | stamp   | the start of its answer and all of it             | 502    | 0    | 1        |
            | stamp   | the start of a longer answer and all of it        | 502    | 0    | 1        |
            | stamp   | the start of a longer answer and an earlier one   | 502    | 0    | 1        |
            | stamp   | the start of an unframed answer and all of it     | 502    | 0    | 1        |
            | verdict | the start of an unframed stream and all of it     | 200    | 1    | 2        |
            | verdict | the start of a stream with a length and all of it | 200    | 1    | 2        |

    Scenario Outline: a narrative whose target sends <fault> is broken off
        Given a serving site
        When the targets respond with "<fault>" 1 times
        And a caller starts a "narrative"
        Then the stream is broken off and its events are in order

        Examples:
            | fault                                             |
            | the start of an unframed stream and all of it     |
            | the start of a stream with a length and all of it |

    Scenario: a late copy of an answer does not reach the next caller on its connection
        Given a serving site with 1 targets of each service
        When the targets respond with "its answer twice" 4 times
        And 8 callers send a "stamp" one after the other, at intervals of 15 ms
        Then each response with the status 200 is the caller's own, and the others do not claim that the request did not run

    Scenario: a late copy of a refusal is not taken for the refusal of the next request on its connection
        Given a serving site with 1 targets of each service
        When 1 callers send a "stamp" one after the other
        And the targets respond with "an earlier refusal" 1 times
        And a caller sends a "stamp"
        Then the response has the status 502 and is whole
        And the request ran 1 times and arrived at targets 1 times

    Scenario: a stamp is refused as not run if all targets refuse it
        Given a serving site
        When the targets respond with "a refusal" 9 times
        And a caller sends a "stamp"
        Then the response has the status 503 and is whole
        And the caller is told that the request did not run and to retry within 2 seconds

    Scenario: an unframed response of a target that ends with it is not complete
        Given a serving site
        When the targets respond with "an unframed answer and the end of its process" 1 times
        And a caller sends a "stamp"
        Then the response has the status 502 and is whole

    # Without chunks, an instance that ends would look like the end of the response.
    Scenario: an unframed response is relayed in chunks
        Given a serving site
        When the targets respond with "an unframed answer" 1 times
        And a caller sends a "stamp"
        Then the response is whole, has chunks and no length

    Scenario: an unframed response that names a transfer encoding is relayed in chunks
        Given a serving site
        When the targets respond with "an unframed answer with a transfer encoding" 1 times
        And a caller sends a "stamp"
        Then the response is whole, has chunks and no length

    Scenario: the target gets the account and the remaining time, but not the API key or the caller's values of internal headers
        Given a serving site
        When a caller sends a "stamp" with the headers
            | tenant            | somebody  |
            | expected-instance | elsewhere |
            | kv-from           | 1.2.3.4/x |
            | hold              | abc       |
            | x-colour          | green     |
        Then the target got these headers
            | tenant   | night-shift |
            | x-colour | green       |
        And the target got none of "authorization,kv-from,hold"
        And the target got a deadline of at most 3000 ms

    Scenario Outline: a <kind> of an account with priority "<account>" reaches its target with priority "<priority>"
        Given a serving site whose account has the priority "<account>"
        When a caller sends a "<kind>"
        Then the target got the priority "<priority>"

        Examples:
            | kind    | account | priority |
            | verdict | none    | 1        |
            | verdict | 0       | 0        |
            | verdict | 12      | 9        |
            | stamp   | 0       | none     |

    Scenario: a generation is cancelled at its engine if its caller disconnects
        Given a serving site
        When a caller sends a "narrative" and disconnects after 3 events
        Then no engine is running a generation after 400 ms
