Feature: The guarantees hold with real processes over loopback
    The verdict of a failed request tells whether the target may have run it: "not-run" or "may-have-run".
    A "stamp" is a POST request to a service that may run at most once for each idempotency key. A "narrative" is a
    request of the kind for long generations, which may wait longer for an engine than requests of other kinds.
    A service with an outcome lookup tells whether it has run the request with a key, and with which outcome.

    @at-most-once
    Scenario: a service that closes the connection after running a stamp is asked for the outcome
        Given a fleet of 2 instances, 2 engines and 2 services
        When the services close the next connection after running the request
        And a caller posts a stamp with the key "s-1" through instance 1
        Then the services ran 1 stamp
        When a caller posts a stamp with the key "s-1" through instance 2
        Then the services ran 1 stamp
        And both stamps have the same number

    @at-most-once
    Scenario: a stamp that is repeated before its response has arrived gets the same response
        Given a fleet of 2 instances, 2 engines and 2 services
        When the services take 1500 ms to respond
        And a caller starts to post a stamp with the key "s-8" through instance 1
        And the services have started 1 stamp
        And a caller posts a stamp with the key "s-8" through instance 2
        And the stamp that was started has ended
        Then the services ran 1 stamp
        And both stamps have the same number

    @at-most-once @not-run
    Scenario: without an outcome lookup the verdict is "may-have-run", and a repeat of the stamp runs nothing
        Given a fleet of 2 instances, 2 engines and 2 services without an outcome lookup
        When the services close the next connection after running the request
        And a caller posts a stamp with the key "s-2" through instance 1
        Then the response has the error "target_failed" and the verdict "may-have-run"
        When a caller posts a stamp with the key "s-2" through instance 2
        Then the response has the error "in_progress" and the verdict "may-have-run"
        And the services ran 1 stamp

    @at-most-once
    Scenario: a gateway is killed while a stamp runs, and the caller repeats it through another instance
        Given a fleet of 3 instances, 2 engines and 2 services
        When the services take 1500 ms to respond
        And a caller starts to post a stamp with the key "s-3" through instance 1
        And the services have started 1 stamp
        And the gateway of instance 1 gets SIGKILL
        And a caller posts a stamp with the key "s-3" through instance 2
        Then the services ran 1 stamp

    @at-most-once
    Scenario: an agent is killed while stamps are claimed
        Given a fleet of 3 instances, 2 engines and 2 services
        When 30 stamps are posted through all instances, each key twice
        And the agent of instance 2 gets SIGKILL
        And all stamp requests have ended
        Then the services ran no key twice

    @at-most-once
    Scenario: an agent is suspended while stamps are claimed, and resumed later
        Given a fleet of 3 instances, 2 engines and 2 services
        When 30 stamps are posted through all instances, each key twice
        And the agent of instance 2 gets SIGSTOP
        And 3500 ms of real time pass
        And the agent of instance 2 gets SIGCONT
        And all stamp requests have ended
        Then the services ran no key twice

    @at-most-once @not-run
    Scenario: while the platform is down stamps are refused at once and GET requests are served
        Given a fleet of 2 instances, 2 engines and 2 services
        When the platform's fault "isDown" is set
        And 300 ms of real time pass
        And a caller posts a stamp with the key "s-4" through instance 1
        Then the response has the error "claim_unavailable" and the verdict "not-run"
        And the response says when to retry
        And the services ran 0 stamps
        When a caller sends a GET request to a service through instance 1
        Then the response has the status 200

    @not-run
    Scenario: a stamp whose targets refuse connections is reported as not run
        Given a fleet of 2 instances, 1 engine and 1 service
        When all services are killed
        And a caller posts a stamp with the key "s-5" through instance 1
        Then the response has the verdict "not-run"
        And the response says when to retry

    @not-run
    Scenario: a stamp whose connection closes before it runs gets the verdict "may-have-run"
        Given a fleet of 2 instances, 1 engine and 1 service without an outcome lookup
        When the services close the next connection before running the request
        And a caller posts a stamp with the key "s-6" through instance 1
        Then the response has the error "target_failed" and the verdict "may-have-run"

    @not-run
    Scenario: a stamp that a service refuses is retried and runs once
        Given a fleet of 2 instances, 1 engine and 2 services
        When the services refuse the next request
        And a caller posts a stamp with the key "s-7" through instance 1
        Then the response has the status 201
        And the services ran 1 stamp

    @not-run
    Scenario: a generation whose deadline passes in the queue is reported promptly as not run
        Given a fleet of 1 instance, 1 engine and 1 service
        When all engines are killed
        And a caller requests a generation with a deadline of 400 ms through instance 1
        Then the response has the verdict "not-run"
        And the response came within 3000 ms

    @one-generation
    Scenario Outline: a caller receives a whole generation despite <fault>
        Given a fleet of 2 instances, 2 engines and 1 service
        When the engines' fault "<name>" is set to <value>
        And a caller streams a generation of 40 tokens through instance 1
        Then the caller has received 40 tokens of one generation in order

        Examples:
            | fault                          | name           | value |
            | streams that are cut           | cutStreams     | 3     |
            | an overlap after a cut         | overlap        | 2     |
            | a stream of another generation | crossedStreams | 1     |

    @one-generation
    Scenario: a stream whose connection stops responding is resumed on a new one
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller starts to stream a generation of 600 tokens through instance 1
        And tokens have been produced
        And the engines' open connections stop responding
        And the streams have ended
        Then the caller has received 600 tokens of one generation in order

    @one-generation
    Scenario: the stream of a killed engine ends with an error, never with tokens of another generation
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller starts to stream a generation of 1500 tokens through instance 1
        And tokens have been produced
        And every engine that holds a request is killed
        And the streams have ended
        Then the caller has received part of one generation and the error "generation_lost"

    @one-generation
    Scenario: a non-streamed generation is restarted on another engine when its engine is killed
        Given a fleet of 2 instances, 3 engines and 1 service
        When a caller starts a non-streamed narrative of 400 tokens through instance 1
        And tokens have been produced
        And every engine that holds a request is killed
        And the streams have ended
        Then the response holds 400 tokens

    @one-generation
    Scenario: a caller resumes its stream through another instance when its gateway is killed
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller starts to stream a generation of 400 tokens through instance 1
        And tokens have been produced
        And the gateway of instance 1 gets SIGKILL
        And the streams have ended
        And the caller resumes its stream through instance 2
        Then the two streams together hold 400 tokens of one generation in order

    @own-answer
    Scenario: a response with another request's identifier is never passed on
        Given a fleet of 2 instances, 1 engine and 2 services
        When the services send the next response with another request's identifier
        And a caller sends a GET request to a service through instance 1
        Then the response has the status 200

    @own-answer
    Scenario: each of hundreds of interleaved requests gets its own response
        Given a fleet of 3 instances, 3 engines and 2 services
        When 300 requests of all kinds are sent at once through all instances, and some of them are cancelled
        Then every response is complete and belongs to its request

    @cold-start
    Scenario: an engine that turns cold under load is not overloaded
        Given a fleet of 3 instances, 2 engines and 1 service, and engines that stay cold for 4000 ms
        When generations are requested continuously for 9000 ms, and engine 1 turns cold after 3000 ms
        Then no engine held more than 2 requests while cold
        And no engine crashed from overload

    @zone-out @config
    Scenario: a withdrawn zone gets no new requests, even if the platform goes down right after the withdrawal
        Given a fleet of 3 instances, 3 engines and 2 services
        When zone "lalitpur-b" is withdrawn by the operators' command
        And the platform's fault "isDown" is set
        And generations are requested continuously for 6000 ms
        Then engine 2 started no generation in the last 3000 ms
        And every instance has configuration generation 2 in force

    @graceful-stop
    # Guards against a repeated signal that ends the process in the middle of its requests.
    Scenario Outline: an instance that gets SIGTERM <times> times finishes its long streams and its stamps
        Given a fleet of 3 instances, 2 engines and 2 services
        When the services take 1000 ms to respond
        And a caller starts to stream a generation of 800 tokens through instance 1
        And a caller starts to post a stamp with the key "g-1" through instance 1
        And 300 ms of real time pass
        And instance 1 gets SIGTERM <times> times at intervals of 100 ms
        And the streams have ended
        Then the caller has received 800 tokens of one generation in order
        And the stamp got the status 201
        And the processes of instance 1 have exited with code 0

        Examples:
            | times |
            | 1     |
            | 3     |

    @graceful-stop
    Scenario: a rolling restart of all instances under load interrupts no request
        Given a fleet of 3 instances, 3 engines and 2 services
        When every instance is stopped and restarted in turn under load
        Then every request got a complete response

    @one-generation
    Scenario: an engine that stops decoding for some seconds continues the same generation
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller starts to stream a generation of 300 tokens through instance 1
        And tokens have been produced
        And the engines' fault "isFrozen" is set to 1
        And 3500 ms of real time pass
        And the engines' fault "isFrozen" is set to 0
        And the streams have ended
        Then the caller has received 300 tokens of one generation in order

    @one-generation
    Scenario: sequences that are preempted while they stream lose and repeat no tokens
        Given a fleet of 1 instance, 1 engine and 1 service, and engines with memory for 400 tokens
        When 12 callers stream generations of 90 tokens each concurrently
        Then every caller has received 90 tokens of one generation in order
        And at least one engine has preempted a sequence

    @graceful-stop
    Scenario: two of three instances get SIGTERM together while stamps and streams run
        Given a fleet of 3 instances, 2 engines and 2 services
        When a caller starts to stream a generation of 500 tokens through instance 1
        And a caller starts to stream a generation of 500 tokens through instance 2
        And tokens have been produced
        And 30 stamps are posted through all instances, each key twice
        And instance 1 gets SIGTERM
        And instance 2 gets SIGTERM
        And all calls have ended
        Then the services ran no key twice
        And every stamp got the status 201 or 409
        And both streams hold 500 tokens
        And the processes of instance 1 have exited with code 0
        And the processes of instance 2 have exited with code 0

    @leaving
    Scenario: a withdrawn batch gets no new requests
        Given a fleet of 3 instances, 3 engines and 2 services
        When batch "batch-2" is withdrawn by the operators' command
        And generations are requested continuously for 6000 ms
        Then engine 2 started no generation in the last 3000 ms

    @one-generation
    Scenario: more generations than the retry budget allows are completed after their engine is killed
        Given a fleet of 1 instance, 2 engines and 1 service, and engines with memory for 40000 tokens
        When 80 callers start non-streamed narratives of 500 tokens through instance 1
        And an engine holds 28 requests
        And the engine that holds the most requests is killed
        And the streams have ended
        Then every response holds 500 tokens

    @not-run
    Scenario: a lost generation that no engine can restart is not reported as not run
        Given a fleet of 1 instance, 1 engine and 1 service
        When a caller starts a non-streamed narrative of 2000 tokens with a deadline of 4000 ms through instance 1
        And tokens have been produced
        And every engine that holds a request is killed
        And the streams have ended
        Then the response has the verdict "may-have-run"

    @not-run
    Scenario: a request of a kind that may wait only briefly is refused in time while requests that may wait long fill the gateway
        Given a fleet of 1 instance, 1 engine and 1 service
        When all engines are killed
        And 80 callers start non-streamed narratives of 20 tokens through instance 1
        And 500 ms of real time pass
        And a caller requests a generation of the kind "hasty" through instance 1
        Then the response has the error "busy" and the verdict "not-run"
        And the response came within 2500 ms

    # Guards against an instance that cannot listen, or is refused a connection, because another test process has its port.
    @ports
    Scenario: test processes that run at the same time get different ports
        When 3 test processes find 500 addresses each at the same time
        Then no two of these addresses are the same
