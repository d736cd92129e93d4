Feature: The callers' interface refuses invalid requests with a specific error

    Scenario: each invalid request gets its own error and runs nothing
        Given a fleet of 1 instance, 1 engine and 1 service
        Then these requests are refused
            | fault                       | status | code              |
            | no key                      | 401    | unauthorized      |
            | unknown key                 | 401    | unauthorized      |
            | unknown path                | 404    | not_found         |
            | body that is not JSON       | 400    | bad_request       |
            | body without a model        | 400    | bad_request       |
            | body without a prompt       | 400    | bad_request       |
            | unknown model               | 404    | unknown_model     |
            | unknown service             | 404    | unknown_service   |
            | invalid deadline            | 400    | bad_request       |
            | empty idempotency key       | 400    | bad_request       |
            | oversize body               | 413    | body_too_large    |
            | oversize headers            | 431    | headers_too_large |
            | malformed event id          | 410    | generation_lost   |
            | event id of another account | 410    | generation_lost   |
        And the services ran 0 stamps

    Scenario: a request whose body never ends does not delay other requests
        Given a fleet of 1 instance, 1 engine and 1 service
        When a caller sends part of a request body and keeps the connection open
        And a caller sends a GET request to a service through instance 1
        Then the response has the status 200
