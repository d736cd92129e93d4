Feature: The adapter to the platform

    Scenario Outline: a call is answered as <reply> when <situation>
        Given a platform stand-in
        When <situation>
        And a "<kind>" is called for the key "a/1"
        Then the reply is "<reply>"

        Examples:
            | kind      | situation                        | reply       |
            | read      | nothing is wrong                 | missing     |
            | create    | nothing is wrong                 | done        |
            | create    | the key exists                   | conflict    |
            | read      | the key exists                   | object      |
            | watch     | the key exists                   | unchanged   |
            | replace   | the key exists                   | conflict    |
            | list      | the key exists                   | page        |
            | instances | nothing is wrong                 | instances   |
            | read      | the platform fails               | unavailable |
            | read      | the platform is silent           | unavailable |
            | create    | the next answer is lost          | unavailable |
            | read      | the platform answers nonsense    | unavailable |

    Scenario: a connection that has gone silent is replaced by a new one
        Given a platform stand-in
        When the key exists
        And a "read" is called for the key "a/1"
        And the open connections go silent
        And a "read" is called for the key "a/1"
        And a "read" is called for the key "a/1"
        Then the reply is "object"
