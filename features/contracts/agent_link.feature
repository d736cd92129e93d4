Feature: The gateway's link to its agent

    Scenario Outline: a permit is <result> when <fault>
        Given an agent that <fault>
        When the gateway asks it for a permit
        Then the permit is <result>

        Examples:
            | fault                          | result                 |
            | grants                         | granted                |
            | grants twice                   | granted                |
            | refuses                        | refused                |
            | grants after a long way        | refused and given back |
            | closes the link                | refused                |
            | answers about another request  | refused                |

    @at-most-once
    Scenario: a claim without an answer is unavailable and made void
        Given an agent that says nothing
        When the gateway asks it for a claim
        Then the claim is unavailable
        And the agent was told that it is void
