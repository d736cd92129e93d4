Feature: Frames of messages between the system's processes

    Scenario Outline: a decoder that is given <fault> <result>
        When a decoder is given <fault>
        Then it <result>

        Examples:
            | fault                         | result             |
            | a whole frame                 | decodes 1 message  |
            | two frames in one chunk       | decodes 2 messages |
            | a frame byte by byte          | decodes 1 message  |
            | a truncated frame             | decodes 0 messages |
            | a frame that is too long      | fails              |
            | a frame of invalid bytes      | fails              |
            | a frame that holds no message | fails              |

    Scenario: an agent keeps working after invalid bytes and messages on its peer port
        Given a fleet of 1 instance, 1 engine and 1 service
        When invalid bytes and messages are sent to the peer port of the agent of instance 1
        And a caller sends a GET request to a service through instance 1
        Then the response has the status 200
