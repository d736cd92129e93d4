@not-run
Feature: The client of plain services reports how far a failed attempt had come
    The verdict tells the caller whether the target may have run the request: "not-run" or "may-have-run".

    Scenario Outline: a call to a service that <fault> has the verdict <verdict>
        When a call is made to a service that <fault>
        Then the attempt fails with the verdict "<verdict>"

        Examples:
            | fault                                           | verdict      |
            | refuses the connection                          | not-run      |
            | closes the connection after it is accepted      | may-have-run |
            | closes the connection during the headers        | may-have-run |
            | closes the connection during the body           | may-have-run |
            | closes the connection after the body            | may-have-run |
            | closes the connection during its response       | may-have-run |
            | never responds                                  | may-have-run |
            | sends an upgrade that nobody requested          | may-have-run |
            | refuses the request as not run                  | not-run      |
            | refuses it as not run, and resets with the head | not-run      |
            | responds with another request's identifier      | may-have-run |
            | responds with the status 000                    | may-have-run |

    Scenario: a complete response is passed on byte by byte
        When a service responds with all bytes from 0 to 255
        Then the attempt returns these bytes

    # An unframed response has neither a length nor chunks: its body ends when its connection is closed.
    Scenario Outline: an unframed response that is reset <moment> is not a response
        When a call is made to a service that resets an unframed response <moment>
        Then the attempt fails with the verdict "may-have-run"

        Examples:
            | moment                                         |
            | with its first bytes                           |
            | with its head                                  |
            | with its first bytes after a transfer encoding |
            | 20 ms after its first bytes                    |

    Scenario Outline: a response that <end> is whole
        When a call is made to a service whose response <end>
        Then the attempt returns the body "<body>"

        Examples:
            | end                                          | body  |
            | is unframed and ends with an orderly close   | whole |
            | has a length and is reset with its last byte | whole |
            | has chunks and is reset with its last chunk  | whole |
            | has a length and comes with other bytes      | whole |
            | has no content and is reset with its head    |       |

    @at-most-once
    Scenario: an unframed response that is reset with its first bytes is not replayed to repeated requests
        Given a fleet of 1 instance, 1 engine and 1 service without an outcome lookup
        When the services reset the next response, without a length, with its first bytes
        And the services take 500 ms to respond
        And a caller starts to post a stamp with the key "u-1" through instance 1
        And the services have started 1 stamp
        # The gateway receives the first bytes and the reset together when it goes on.
        And the gateway of instance 1 gets SIGSTOP
        And 800 ms of real time pass
        And the gateway of instance 1 gets SIGCONT
        And the stamp has ended
        And a caller posts a stamp with the key "u-1" through instance 1
        Then the response has the status 409
        And the response has the error "in_progress" and the verdict "may-have-run"
        And the stamp got the status 502
        And the services ran 1 stamp

    @at-most-once
    Scenario: an unframed response reaches its caller and repeated requests unframed
        Given a fleet of 1 instance, 1 engine and 1 service without an outcome lookup
        When the services send the next response without a length
        And a caller posts a stamp with the key "u-2" through instance 1
        Then the response holds "certificate" and is unframed
        When 300 ms of real time pass
        And a caller posts a stamp with the key "u-2" through instance 1
        Then the response holds "certificate" and is unframed
        And both stamps have the same number
        And the services ran 1 stamp
