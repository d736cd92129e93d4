@one-generation
Feature: The client of model engines reports how a stream ended
    The progress tells how far a broken attempt had come; the verdict for the caller is derived from it.

    Scenario Outline: a stream of an engine that <fault> ends as <end> with the progress <progress>
        When an engine <fault>
        Then the stream yields <tokens> tokens and ends as "<end>" with the progress "<progress>"

        Examples:
            | fault                                  | tokens | end    | progress      |
            | sends two tokens and the end           | 2      | done   | none          |
            | refuses the connection                 | 0      | broken | not-connected |
            | refuses the request                    | 0      | broken | refused       |
            | refuses another generation             | 0      | broken | answering     |
            | does not know the generation           | 0      | broken | refused       |
            | fails                                  | 0      | broken | answering     |
            | closes the connection after one token  | 1      | broken | answering     |
            | ends the stream without the last event | 1      | broken | answering     |
            | stops sending after one token          | 1      | broken | answering     |
            | accepts the request and never responds | 0      | broken | sent          |
            | sends an upgrade that nobody requested | 0      | broken | sent          |
            | sends invalid lines and then a token   | 1      | done   | none          |
            | sends comments without end             | 1      | broken | answering     |
            | sends a line without end               | 1      | broken | answering     |
