@platform @soak
Feature: Real processes keep their promises under random faults

    Scenario Outline: a soak with the seed <seed>
        When a soak runs for <seconds> seconds with the seed <seed>
        Then no promise is broken and at least 6 in 10 requests are served

        Examples: short seeds of every run
            | seed | seconds |
            | 1    | 6       |
            | 16   | 10      |
            | 26   | 10      |
            | 29   | 10      |
