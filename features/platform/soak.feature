@platform @soak
Feature: Serving processes keep their guarantees under random faults

    Scenario Outline: a soak test with the seed <seed>
        When a soak test runs for <seconds> seconds with the seed <seed>
        Then no guarantee is violated and at least 6 in 10 requests are served

        Examples: short runs that are part of every test run
            | seed | seconds |
            | 1    | 6       |
            | 16   | 10      |
            | 26   | 10      |
            | 29   | 10      |
