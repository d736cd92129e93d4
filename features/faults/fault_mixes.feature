Feature: No mix of faults, at any moment, together or twice, breaks a promise

    @at-most-once @cold-start @zone-out @config
    Scenario Outline: mixes from seed <seed>
        Then <runs> mixes of all faults from seed <seed> break no promise

        Examples:
            | seed | runs |
            | 101  | 100  |
            | 202  | 100  |
            | 303  | 100  |
