Feature: Random sequences of faults violate no guarantee
    Faults of all kinds occur at any time, together and repeatedly. Each run checks the guarantees after every fault.

    @at-most-once @cold-start @zone-out @config
    Scenario Outline: random fault sequences from seed <seed>
        Then <runs> random fault sequences from seed <seed> violate no guarantee

        Examples:
            | seed | runs |
            | 101  | 100  |
            | 202  | 100  |
            | 303  | 100  |
