@config
Feature: The operators' command

    Scenario: a document that contradicts itself is refused with file, line and reason
        When the example of "bagmati" is checked with "zone: lalitpur-b" changed to "zone: nowhere"
        Then the check fails at a line with "its zone "nowhere" is not listed"

    Scenario Outline: the examples of <deployment> are valid
        When the example of "<deployment>" is checked with "a text that is not there" changed to "another"
        Then the check passes

        Examples:
            | deployment |
            | bagmati    |
            | signalis   |

    Scenario: of two racing changes one is accepted and the other is told of the first
        Given a platform stand-in
        When two operators apply changes to the same generation
        Then one change is accepted and the other is a conflict

    Scenario: small edits of racing operators are all accepted
        Given a platform stand-in
        When 5 operators withdraw different targets at once
        Then 5 withdrawals are in the configuration

    Scenario: a change whose answer is lost is found to be accepted
        Given a platform stand-in
        When the first configuration is applied
        And an operator applies a change whose answer is lost
        Then the change is accepted
