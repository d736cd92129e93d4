Feature: The callers' interface refuses bad input clearly

    Scenario: each bad request gets its own error and runs nothing
        Given a fleet of 1 instance, 1 engine and 1 service
        Then these requests are refused
            | fault                    | status | code             |
            | no key                   | 401    | unauthorized     |
            | unknown key              | 401    | unauthorized     |
            | unknown path             | 404    | not_found        |
            | body that is no JSON     | 400    | bad_request      |
            | body without a model     | 400    | bad_request      |
            | body without a prompt    | 400    | bad_request      |
            | unknown model            | 404    | unknown_model    |
            | unknown service          | 404    | unknown_service  |
            | bad deadline             | 400    | bad_request      |
            | empty idempotency key    | 400    | bad_request      |
            | oversize body            | 413    | body_too_large   |
            | oversize headers         | 431    | headers_too_large |
            | event id of nobody       | 410    | generation_lost  |
            | event id of another      | 410    | generation_lost  |
        And the services ran 0 stamps

    Scenario: a request that never ends is cut off, and others are served meanwhile
        Given a fleet of 1 instance, 1 engine and 1 service
        When a caller sends half a request and waits
        And a caller looks a charge up through instance 1
        Then the answer has the status 200
