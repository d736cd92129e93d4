@config
Feature: The operators' command checks and applies configurations

    Scenario: an inconsistent document is refused with file, line and reason
        When the example of "bagmati" is checked with "zone: lalitpur-b" replaced by "zone: nowhere"
        Then the check fails at a line with "its zone "nowhere" is not listed"

    # The file is checked as it is, because the text to replace does not occur in it.
    Scenario Outline: the example of <deployment> is valid
        When the example of "<deployment>" is checked with "a text that is not there" replaced by "another"
        Then the check passes

        Examples:
            | deployment |
            | bagmati    |
            | signalis   |

    Scenario: one of two concurrent changes is accepted and the other is a conflict
        Given a platform stand-in
        When two operators apply changes based on the same configuration generation
        Then one change is accepted and the other is a conflict

    Scenario: concurrent edits of single rules are all accepted
        Given a platform stand-in
        When 5 operators withdraw different targets concurrently
        Then 5 withdrawals are in the configuration

    Scenario: a change is reported as accepted although the platform's response to it was lost
        Given a platform stand-in
        When the first configuration is applied
        And an operator applies a change whose response is lost
        Then the change is accepted
