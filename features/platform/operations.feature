@platform
Feature: docs/OPERATIONS.md leads from a failed request's id to its cause

    Scenario Outline: the lines of a played day tell why <request> <end>
        Given the recorded lines "<file>"
        When an operator follows the request "<request>"
        Then its line tells that it "<end>"
        And the next lines tell "<cause>"

        Examples:
            | file       | request          | end        | cause                                                 |
            | broken_off | 971aa88420f52464 | broken off | its engine left, and its move was due too late        |
            | refused    | 0107827ab322cb6c | refused    | its targets were gone while the store was lost        |
            | denied     | b8b022a1f0f83b10 | not_found  | the configuration was old while the store was lost    |
