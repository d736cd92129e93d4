@platform
Feature: The procedure of docs/OPERATIONS.md leads from the identifier of a failed request to the cause

    Scenario Outline: the recorded log lines show why the request <request> ended as <end>
        Given the recorded log lines "<file>"
        When an operator looks up the log line of the request "<request>"
        Then the line has the result "<end>"
        And the related lines show "<cause>"

        Examples:
            | file       | request          | end        | cause                                              |
            | broken_off | 971aa88420f52464 | broken off | its engine shut down before its planned move       |
            | refused    | 0107827ab322cb6c | refused    | its targets had shut down during a store outage    |
            | denied     | b8b022a1f0f83b10 | not_found  | the configuration was outdated in a store outage   |
