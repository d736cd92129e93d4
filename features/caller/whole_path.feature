Feature: The whole path, through real processes
    Callers reach an engine or a plain service through any instance.

    Background:
        Given a fleet of 2 instances, 2 engines and 2 services

    @own-answer
    Scenario: a streamed generation reaches its caller token by token
        When a caller streams a generation of 25 tokens through instance 1
        Then the caller has 25 tokens of one generation in order

    @own-answer
    Scenario: a whole generation reaches its caller as one answer
        When a caller asks for a whole generation of 25 tokens through instance 2
        Then the answer holds 25 tokens

    @at-most-once
    Scenario: a stamp that is repeated through another instance runs once
        When a caller stamps with the key "batch-1" through instance 1
        And a caller stamps with the key "batch-1" through instance 2
        Then both stamps have the same number
        And the services ran 1 stamp
