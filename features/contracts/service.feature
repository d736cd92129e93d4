@not-run
Feature: The client of plain services reports how far a failed attempt had come
    The verdict tells the caller whether the target may have run the request: "not-run" or "may-have-run".

    Scenario Outline: a call to a service that <fault> has the verdict <verdict>
        When a call is made to a service that <fault>
        Then the attempt fails with the verdict "<verdict>"

        Examples:
            | fault                                         | verdict      |
            | refuses the connection                        | not-run      |
            | closes the connection after it is accepted    | may-have-run |
            | closes the connection during the headers      | may-have-run |
            | closes the connection during the body         | may-have-run |
            | closes the connection after the body          | may-have-run |
            | closes the connection during its response     | may-have-run |
            | never responds                                | may-have-run |
            | refuses the request as not run                | not-run      |
            | responds with another request's identifier    | may-have-run |

    Scenario: a complete response is passed on byte by byte
        When a service responds with all bytes from 0 to 255
        Then the attempt returns these bytes
