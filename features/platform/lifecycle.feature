@platform @graceful-stop
Feature: The serving process starts, reloads and shuts down without interrupting a request

    Scenario: during shutdown running requests are completed and the readiness check fails
        Given a running serving process
        When a caller starts a "narrative" at the serving process
        And the serving process receives SIGTERM
        Then the serving process is not ready after 200 ms
        And the caller has received the whole stream
        And the serving process exits with code 0 within 4000 ms

    # Guards against a repeated signal that ends the process in the middle of its requests.
    Scenario Outline: a further <signal> during shutdown does not interrupt running requests
        Given a running serving process
        When a caller starts a "narrative" at the serving process
        And the serving process receives SIGTERM
        And the serving process receives <signal> 2 more times
        Then the caller has received the whole stream
        And the serving process exits with code 0 within 4000 ms

        Examples:
            | signal  |
            | SIGTERM |
            | SIGINT  |

    # Guards against a process that ends while its callers are still reading their answers.
    Scenario: an answer that its caller reads slowly arrives whole although the process stops
        Given a running serving process that has 8 s to stop
        When a caller reads a long answer at 800 KB a second
        And the serving process receives SIGTERM
        Then the caller has received the whole long answer
        And the serving process exits with code 0 within 8000 ms

    # Guards against an answer that is taken for whole since something listens at the address of a target that has ended
    # while this process was paused.
    Scenario Outline: an answer without a length that ends while the process is paused for <pause> ms is <end>
        Given a running serving process
        When a "stamp" is answered without a length, and its connection ends after 500 ms
        And the serving process is paused for <pause> ms meanwhile
        Then the caller has received <result>

        Examples:
            | pause | end           | result           |
            | 0     | whole         | the whole answer |
            | 2600  | not confirmed | no success       |

    Scenario: a request on a keep-alive connection during shutdown is served, and the connection is closed
        Given a running serving process
        When the serving process receives SIGTERM
        And a caller sends a "stamp" to the serving process
        Then the response of the serving process has the status 200
        And the response announces that its connection is closed

    Scenario: a long narrative that arrives during shutdown is refused before it runs
        Given a running serving process
        When the serving process receives SIGTERM
        And a caller sends a "narrative" of at most 4000 tokens to the serving process
        Then the response of the serving process has the status 503
        And the caller is told to retry soon, and no engine has received the request

    @cling
    Scenario: callers that keep coming to a stopping instance are answered until its process has ended
        Given a running serving process
        When 9 callers cling to the serving process for 400 ms
        And the serving process receives SIGTERM
        Then the serving process exits with code 0 within 3000 ms
        And the clinging callers were served after SIGTERM
        And each of their requests that reached a target was answered completely
        And none of their requests ran twice, or although its caller was told that it had not run

    # Guards against requests whose connection was closed at the end of the grace.
    @cling
    Scenario Outline: a <kind> that no target has answered at the end of the grace is answered and not cut off
        Given a running serving process
        When the targets answer nothing
        And the serving process receives SIGTERM
        And a caller sends a "<kind>" to the serving process
        Then the response of the serving process has the status 502
        And the serving process exits with code 0 within 3000 ms

        Examples:
            | kind      |
            | stamp     |
            | narrative |

    # Guards against requests that are taken late in the grace and cut off at its end, although they may not be repeated.
    Scenario Outline: a <kind> that comes late in the grace and may not be answered before its end is refused before it runs
        Given a running serving process
        When the targets take 2000 ms to answer a request
        And a caller starts a "stamp" at the serving process
        And the serving process receives SIGTERM
        And a caller sends a "<kind>" to the serving process 1700 ms after SIGTERM
        Then the response of the serving process has the status 503
        And no target has received that request

        Examples:
            | kind   |
            | stamp  |
            | lookup |

    Scenario: a stamp that comes late in the grace and whose deadline is before its end is served
        Given a running serving process
        When the targets take 2000 ms to answer a request
        And a caller starts a "stamp" at the serving process
        And the serving process receives SIGTERM
        And the targets take 0 ms to answer a request
        And a caller sends a "stamp" with a deadline of 600 ms to the serving process 1700 ms after SIGTERM
        Then the response of the serving process has the status 200

    Scenario Outline: a request with <bytes> bytes of headers gets the status <status> if the configuration allows 16384
        Given a serving site
        When a caller sends a "stamp" with a header of <bytes> bytes
        Then the response has the status <status> and is whole

        Examples:
            | bytes | status |
            | 15000 | 200    |
            | 17000 | 431    |

    Scenario: SIGHUP reloads the settings file, and an invalid file changes nothing
        Given a running serving process
        When the settings file changes and the serving process receives SIGHUP
        Then the serving process logs "settings reloaded"
        When the settings file becomes invalid and the serving process receives SIGHUP
        Then the serving process logs "settings unusable"

    Scenario Outline: a settings file with <fault> is refused with a message of one line
        When the serving process checks a settings file with <fault>
        Then it exits with code 2 and one line that names "<name>"

        Examples:
            | fault              | name             |
            | no node_name       | node_name        |
            | an invalid address | listen.front     |
            | a negative bound   | bounds.grace_s   |

    Scenario: the volume of the log is limited at ten times the usual load
        When 150 lines of each class a second are logged for 10 seconds
        Then no more lines are written than the limit, and the others are counted
        And a line of each class has the number of lines dropped before it

    Scenario: a process does not block if the output to which it logs is not read
        When a process logs and its output is not read
        Then recording 2000 lines takes less than 500 ms

    @bundle
    Scenario: the program that is deployed as one file starts, serves and stops like the built one
        Given a running serving process from the bundle
        When a caller sends a "stamp" to the serving process
        Then the response of the serving process has the status 200
        When the serving process receives SIGTERM
        Then the serving process exits with code 0 within 4000 ms
