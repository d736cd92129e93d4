@platform @graceful-stop
Feature: The serving process starts, reloads and stops without cutting a request

    Scenario: a stop lets running requests end and takes the instance out of rotation
        Given the serving program
        When a caller begins a "narrative" of the program
        And the program gets SIGTERM
        Then it is not ready within 200 ms
        And the caller's stream is whole
        And the program ends with code 0 within 4000 ms

    Scenario: a request on a kept connection during a stop is answered and its connection closes
        Given the serving program
        When the program gets SIGTERM
        And a caller of the program sends a "stamp"
        Then the program's answer is 200
        And the answer says that its connection closes

    Scenario: a long narrative that comes during a stop is refused before it runs
        Given the serving program
        When the program gets SIGTERM
        And a caller of the program sends a "narrative" of at most 4000 tokens
        Then the program's answer is 503
        And the caller is told to come back soon, and no engine has seen the request

    Scenario: SIGHUP reads the settings file again and a bad file changes nothing
        Given the serving program
        When the settings file changes and the program gets SIGHUP
        Then the program logs "settings reloaded"
        When the settings file is spoiled and the program gets SIGHUP
        Then the program logs "settings unusable"

    Scenario Outline: a settings file with <fault> is refused in one line
        When the serving program checks a settings file with <fault>
        Then it ends with code 2 and a line that names "<name>"

        Examples:
            | fault              | name             |
            | no node_name       | node_name        |
            | a bad address      | listen.front     |
            | a negative bound   | bounds.grace_s   |

    Scenario: the volume of the log stays bounded at ten times the usual load
        When a log gets 150 lines of each class a second for 10 seconds
        Then it has written no more than its bound and counted the rest
        And a line of each class tells how many were dropped

    Scenario: a reader that has stopped reading does not hold up the log
        When a log's reader takes nothing
        Then recording 2000 lines takes less than 500 ms
