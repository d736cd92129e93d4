@platform @request-crashes
Feature: Requests that crash the targets that run them

    A target may crash whenever it runs a certain request: the same path, account and body, whatever its identifier. It
    ends before the head of its answer, with all other requests that it runs, and is back after two seconds. Such a
    request comes again and again, at any instance. The log names a request by its fingerprint.

    Scenario: the log shows which requests are the same
        Given a serving site
        When callers send these requests
            | kind  | path     | body  |
            | stamp | /stamp/1 | one   |
            | stamp | /stamp/1 | one   |
            | stamp | /stamp/1 | other |
            | stamp | /stamp/2 | one   |
            | stamp | /stamp/2 | other |
        Then the log lines of the first 2 requests have the same fingerprint, and those of the others have others

    # "contact" is the time within which instances have told each other, 3 seconds.
    Scenario Outline: a <kind> that crashes each target that runs it stops reaching targets
        Given a serving site with 3 instances and 3 targets of each service
        When a "<kind>" that crashes targets comes every 300 ms for 7500 ms, and sound ones beside it
        Then at most 4 targets have ended
        And at most 3 sends of it reached targets later than 3 seconds after the third crash
        And it was refused as not run within 60 ms in the last 3000 ms, and then reached no target
        And all sound requests of the last 2000 ms were served

        Examples:
            | kind      |
            | lookup    |
            | stamp     |
            | narrative |
            | verdict   |
            | summary   |

    Scenario: a sound lookup whose target crashes is served by another, and is not quarantined
        Given a serving site with 2 instances and 3 targets of each service
        When target 1 of "ledger" crashes under the path "/lookup/1"
        And 20 callers send a "lookup" within 1000 ms
        Then all responses have the status 200
        And 1 target has ended
        And no instance holds a part in quarantine

    Scenario: a lookup that has crashed two targets is not sent to a third, and one more crash quarantines it
        Given a serving site with 2 instances and 4 targets of each service
        When all targets of "ledger" crash under the path "/lookup/1"
        And 1 callers send a "lookup" within 10 ms
        Then 2 targets have ended
        And the log line of the request says that each of its 2 attempts has crashed the target
        When 1 callers send a "lookup" within 10 ms
        Then 3 targets have ended
        When 1 callers send a "lookup" within 10 ms
        Then 3 targets have ended
        And the last 1 of them have the status 503

    Scenario: the end of a target that has announced its shutdown is no crash
        Given a serving site with 2 instances and 2 targets of each service
        When target 1 of "ledger" crashes under the path "/lookup/1"
        And target 1 of "ledger" announces its shutdown to the store while it runs a "lookup"
        Then 1 target has ended
        And no instance has logged "target crash observed"

    Scenario: a stamp that is at a target when it is quarantined is aborted before it crashes that target
        Given a serving site with 2 instances and 4 targets of each service
        When all targets of "ledger" crash under the path "/stamp/1"
        And target 4 of "ledger" crashes 2500 ms after it has begun to run such a request
        And callers send a "stamp" every 150 ms until target 4 of "ledger" runs one and 3 targets have ended
        And 2600 ms have passed
        Then 3 targets have ended
        And each caller of them was told that it may have run, or that it was refused
