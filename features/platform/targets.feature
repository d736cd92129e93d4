@platform @own-answer @not-run
Feature: What callers get when a target of the platform misbehaves

    Scenario Outline: a <kind> whose target gives <fault> <times> times ends as <status> after <runs> runs
        Given a serving site
        When the targets give "<fault>" <times> times
        And a caller sends a "<kind>"
        Then the answer is <status> and <whole>
        And the request ran <runs> times and arrived <arrivals> times

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
            | lookup | an unframed answer                  | 1     | 200    | whole     | 0    | 1        |
            | lookup | no HTTP                             | 1     | 200    | whole     | 1    | 2        |
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
            | stamp  | no HTTP                             | 1     | 502    | whole     | 0    | 1        |
            | stamp  | a reset                             | 1     | 502    | whole     | 0    | 1        |
            | stamp  | silence                             | 1     | 504    | whole     | 0    | 1        |
            | verdict | a failure                          | 1     | 200    | whole     | 1    | 2        |
            | verdict | a reset                            | 1     | 200    | whole     | 1    | 2        |
            | verdict | silence                            | 1     | 200    | whole     | 1    | 2        |
            | narrative | a refusal                        | 1     | 200    | whole     | 1    | 2        |
            | narrative | a reset                          | 1     | 502    | whole     | 0    | 1        |
            | narrative | no signature                     | 1     | 502    | whole     | 0    | 1        |

    Scenario: a stamp is refused as not run when all targets refuse it
        Given a serving site
        When the targets give "a refusal" 9 times
        And a caller sends a "stamp"
        Then the answer is 503 and whole
        And the caller may come back within 2 seconds

    Scenario: an unframed answer is passed on without a length
        Given a serving site
        When the targets give "an unframed answer" 1 times
        And a caller sends a "stamp"
        Then the answer has no length of its own

    Scenario: the account and the time left reach the target, the key and the caller's own marks do not
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
        And the target got at most 3000 ms

    Scenario Outline: a <kind> of an account with rank "<account>" reaches its target with rank "<rank>"
        Given a serving site whose account has the rank "<account>"
        When a caller sends a "<kind>"
        Then the target got the rank "<rank>"

        Examples:
            | kind    | account | rank |
            | verdict | none    | 1    |
            | verdict | 0       | 0    |
            | verdict | 12      | 9    |
            | stamp   | 0       | none |

    Scenario: a caller that leaves ends the work at its target
        Given a serving site
        When a caller sends a "narrative" and leaves after 3 events
        Then no run is at work within 400 ms
