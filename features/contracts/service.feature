@not-run
Feature: The adapter to plain services tells how far a failed attempt had come

    Scenario Outline: a connection that is cut <moment> has the verdict <verdict>
        When a service cuts the connection <moment>
        Then the attempt fails with the verdict "<verdict>"

        Examples:
            | moment                 | verdict      |
            | before it is accepted  | not-run      |
            | after it is accepted   | may-have-run |
            | during the headers     | may-have-run |
            | during the body        | may-have-run |
            | after the body         | may-have-run |
            | during its answer      | may-have-run |
            | never, and is silent   | may-have-run |
            | never, and refuses     | not-run      |
            | never, and crosses ids | may-have-run |

    Scenario: an answer that is whole is passed on byte by byte
        When a service answers with all bytes from 0 to 255
        Then the attempt gives these bytes
