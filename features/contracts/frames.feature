Feature: Frames between the system's own processes

    Scenario Outline: a decoder given <fault> <result>
        When a decoder is given <fault>
        Then it <result>

        Examples:
            | fault                           | result           |
            | a whole frame                   | gives 1 message  |
            | two frames in one piece         | gives 2 messages |
            | a frame byte by byte            | gives 1 message  |
            | a truncated frame               | gives 0 messages |
            | a frame that is too long        | fails            |
            | a frame of garbage              | fails            |
            | a frame that holds no message   | fails            |

    Scenario: an agent survives bad frames on its ports
        Given a fleet of 1 instance, 1 engine and 1 service
        When garbage is sent to the ports of the agent of instance 1
        And a caller looks a charge up through instance 1
        Then the answer has the status 200
