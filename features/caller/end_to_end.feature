Feature: Requests through real processes, end to end
    Callers reach an engine or a plain service through any instance. Instances, engines and services run as processes.
    A "stamp" is a POST request to a service that may run at most once for each idempotency key.

    Background:
        Given a fleet of 2 instances, 2 engines and 2 services

    @own-answer
    Scenario: a streamed generation reaches its caller token by token
        When a caller streams a generation of 25 tokens through instance 1
        Then the caller has received 25 tokens of one generation in order

    @own-answer
    Scenario: a non-streamed generation reaches its caller as one response
        When a caller requests a non-streamed generation of 25 tokens through instance 2
        Then the response holds 25 tokens

    @at-most-once
    Scenario: a stamp that is repeated through another instance runs once
        When a caller posts a stamp with the key "batch-1" through instance 1
        And a caller posts a stamp with the key "batch-1" through instance 2
        Then both stamps have the same number
        And the services ran 1 stamp
