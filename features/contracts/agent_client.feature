Feature: The gateway's client of its agent
    The gateway asks its agent for permits to send requests to targets, and for claims on idempotency keys.

    Scenario Outline: a permit is <result> when the agent <fault>
        Given an agent that <fault>
        When the gateway requests a permit
        Then the permit is <result>

        Examples:
            | fault                 | result               |
            | grants                | granted              |
            | grants twice          | granted              |
            | refuses               | refused              |
            | grants too late       | refused and released |
            | closes the connection | refused              |
            | grants another permit | refused              |

    @at-most-once
    Scenario: a claim that gets no reply counts as unavailable and is settled without an outcome
        Given an agent that does not reply
        When the gateway requests a claim
        Then the claim is unavailable
        And the gateway has settled the claim without an outcome
