Feature: The client of the platform's object store returns a specific reply in each situation

    Scenario Outline: the call "<kind>" gets the reply "<reply>" when <situation>
        Given a platform stand-in
        When <situation>
        And a "<kind>" call is made for the key "a/1"
        Then the reply is "<reply>"

        Examples:
            | kind      | situation                       | reply       |
            | read      | there is no fault               | missing     |
            | create    | there is no fault               | done        |
            | create    | the key exists                  | conflict    |
            | read      | the key exists                  | object      |
            | watch     | the key exists                  | unchanged   |
            | replace   | the key exists                  | conflict    |
            | list      | the key exists                  | page        |
            | instances | there is no fault               | instances   |
            | read      | the platform fails              | unavailable |
            | read      | the platform responds too late  | unavailable |
            | create    | the next response is lost       | unavailable |
            | read      | the platform sends invalid JSON | unavailable |

    Scenario: a connection on which the platform no longer responds is replaced by a new one
        Given a platform stand-in
        When the key exists
        And a "read" call is made for the key "a/1"
        And the open connections stop responding
        And a "read" call is made for the key "a/1"
        And a "read" call is made for the key "a/1"
        Then the reply is "object"
