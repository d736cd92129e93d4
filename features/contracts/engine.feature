@one-generation
Feature: The adapter to model engines tells how a stream ended

    Scenario Outline: a stream that <fault> ends as <end> with the progress <progress>
        When an engine <fault>
        Then the stream gives <tokens> tokens and ends as "<end>" with the progress "<progress>"

        Examples:
            | fault                            | tokens | end    | progress      |
            | sends two tokens and the end     | 2      | done   | none          |
            | refuses the connection           | 0      | broken | not-connected |
            | refuses the request              | 0      | broken | refused       |
            | does not know the generation     | 0      | broken | refused       |
            | fails                            | 0      | broken | answering     |
            | cuts the connection after one    | 1      | broken | answering     |
            | ends without the last event      | 1      | broken | answering     |
            | goes silent after one            | 1      | broken | answering     |
            | accepts and never answers        | 0      | broken | sent          |
            | sends nonsense and then a token  | 1      | done   | none          |
