Feature: The promises, by real processes over loopback

    @at-most-once
    Scenario: a service that dies after running is asked how the request ended
        Given a fleet of 2 instances, 2 engines and 2 services
        When the services cut the next connection after running
        And a caller stamps with the key "s-1" through instance 1
        Then the services ran 1 stamp
        When a caller stamps with the key "s-1" through instance 2
        Then the services ran 1 stamp

    @at-most-once @not-run
    Scenario: a service that tells no outcomes leaves the verdict open, and a repeat runs nothing
        Given a fleet of 2 instances, 2 engines and 2 services that keep no outcomes
        When the services cut the next connection after running
        And a caller stamps with the key "s-2" through instance 1
        Then the answer has the error "target_failed" and the verdict "may-have-run"
        When a caller stamps with the key "s-2" through instance 2
        Then the answer has the error "in_progress" and the verdict "may-have-run"
        And the services ran 1 stamp

    @at-most-once
    Scenario: a gateway is killed while a stamp runs, and the caller repeats it elsewhere
        Given a fleet of 3 instances, 2 engines and 2 services
        When the services take 1500 ms to answer
        And a caller begins to stamp with the key "s-3" through instance 1
        And the services have begun 1 stamp
        And the gateway of instance 1 gets SIGKILL
        And a caller stamps with the key "s-3" through instance 2
        Then the services ran 1 stamp

    @at-most-once
    Scenario: an agent is killed while stamps are claimed
        Given a fleet of 3 instances, 2 engines and 2 services
        When 30 stamps are begun through all instances, each key twice
        And the agent of instance 2 gets SIGKILL
        And all stamps are answered
        Then no key ran twice

    @at-most-once
    Scenario: an agent is frozen while stamps are claimed, and goes on later
        Given a fleet of 3 instances, 2 engines and 2 services
        When 30 stamps are begun through all instances, each key twice
        And the agent of instance 2 gets SIGSTOP
        And 3500 ms of real time pass
        And the agent of instance 2 gets SIGCONT
        And all stamps are answered
        Then no key ran twice

    @at-most-once @not-run
    Scenario: while the platform is down stamps are refused at once and lookups go on
        Given a fleet of 2 instances, 2 engines and 2 services
        When the platform's fault "isDown" is set
        And 300 ms of real time pass
        And a caller stamps with the key "s-4" through instance 1
        Then the answer has the error "claim_unavailable" and the verdict "not-run"
        And the answer says when to come back
        And the services ran 0 stamps
        When a caller looks a charge up through instance 1
        Then the answer has the status 200

    @not-run
    Scenario: targets that refuse connections are truly not reached
        Given a fleet of 2 instances, 1 engine and 1 service
        When all services are killed
        And a caller stamps with the key "s-5" through instance 1
        Then the answer has the verdict "not-run"
        And the answer says when to come back

    @not-run
    Scenario: a connection that is cut before the request runs leaves the verdict open
        Given a fleet of 2 instances, 1 engine and 1 service that keep no outcomes
        When the services cut the next connection before running
        And a caller stamps with the key "s-6" through instance 1
        Then the answer has the error "target_failed" and the verdict "may-have-run"

    @not-run
    Scenario: a service that refuses is asked again, and the stamp runs once
        Given a fleet of 2 instances, 1 engine and 2 services
        When the services refuse the next request
        And a caller stamps with the key "s-7" through instance 1
        Then the answer has the status 201
        And the services ran 1 stamp

    @not-run
    Scenario: a deadline that passes in the queue is told at once as not run
        Given a fleet of 1 instance, 1 engine and 1 service
        When all engines are killed
        And a caller asks for a generation with a deadline of 400 ms through instance 1
        Then the answer has the verdict "not-run"
        And the answer came within 3000 ms

    @one-generation
    Scenario Outline: a stream survives <fault>
        Given a fleet of 2 instances, 2 engines and 1 service
        When the engines' fault "<name>" is set to <value>
        And a caller streams a generation of 40 tokens through instance 1
        Then the caller has 40 tokens of one generation in order

        Examples:
            | fault                                | name           | value |
            | streams that are cut                 | cutStreams     | 3     |
            | an overlap after a cut               | overlap        | 2     |
            | a stream of another generation       | crossedStreams | 1     |

    @one-generation
    Scenario: a stream whose connection goes silent is resumed on a new one
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller begins to stream a generation of 600 tokens through instance 1
        And tokens have been produced
        And the engines' open connections go silent
        And the streams have ended
        Then the caller has 600 tokens of one generation in order

    @one-generation
    Scenario: an engine that is killed in the middle ends the stream with an error, never with a splice
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller begins to stream a generation of 1500 tokens through instance 1
        And tokens have been produced
        And the engine that streams is killed
        And the streams have ended
        Then the caller has part of one generation and the error "generation_lost"

    @one-generation
    Scenario: whole delivery starts again elsewhere when its engine is killed
        Given a fleet of 2 instances, 3 engines and 1 service
        When a caller begins a whole narrative of 400 tokens through instance 1
        And tokens have been produced
        And the engine that streams is killed
        And the streams have ended
        Then the answer holds 400 tokens

    @one-generation
    Scenario: a caller resumes its stream through another instance when its gateway is killed
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller begins to stream a generation of 400 tokens through instance 1
        And tokens have been produced
        And the gateway of instance 1 gets SIGKILL
        And the streams have ended
        And the caller resumes its stream through instance 2
        Then the two streams together hold 400 tokens of one generation in order

    @own-answer
    Scenario: a crossed answer of a service is never passed on
        Given a fleet of 2 instances, 1 engine and 2 services
        When the services cross the next answer
        And a caller looks a charge up through instance 1
        Then the answer has the status 200

    @own-answer
    Scenario: hundreds of interleaved requests each get their own answer
        Given a fleet of 3 instances, 3 engines and 2 services
        When 300 requests of all kinds are made at once through all instances, some of them given up
        Then every answer is whole and belongs to its own request

    @cold-start
    Scenario: an engine that turns cold under load is not pushed over
        Given a fleet of 3 instances, 2 engines and 1 service, and engines that are cold for 4000 ms
        When generations are asked for without pause for 9000 ms, and engine 1 turns cold after 3000 ms
        Then no engine held more than 2 requests while cold
        And no engine fell over

    @zone-out @config
    Scenario: a withdrawn zone gets no new work, also when the platform goes down right after
        Given a fleet of 3 instances, 3 engines and 2 services
        When zone "lalitpur-b" is withdrawn by the operators' command
        And the platform's fault "isDown" is set
        And generations are asked for without pause for 6000 ms
        Then engine 2 began nothing in the last 3000 ms
        And every instance has generation 2 in force

    @graceful-stop
    Scenario: an instance that is stopped finishes its long streams and its stamps
        Given a fleet of 3 instances, 2 engines and 2 services
        When the services take 1000 ms to answer
        And a caller begins to stream a generation of 800 tokens through instance 1
        And a caller begins to stamp with the key "g-1" through instance 1
        And 300 ms of real time pass
        And instance 1 gets SIGTERM
        And the streams have ended
        Then the caller has 800 tokens of one generation in order
        And the stamp was answered with status 201
        And the processes of instance 1 have ended by themselves

    @graceful-stop
    Scenario: every instance is replaced in turn under load and no request is cut
        Given a fleet of 3 instances, 3 engines and 2 services
        When every instance is stopped and started in turn under load
        Then no request was cut or lost

    @one-generation
    Scenario: an engine that freezes for some seconds goes on with the same generation
        Given a fleet of 2 instances, 2 engines and 1 service
        When a caller begins to stream a generation of 300 tokens through instance 1
        And tokens have been produced
        And the engines' fault "isFrozen" is set to 1
        And 3500 ms of real time pass
        And the engines' fault "isFrozen" is set to 0
        And the streams have ended
        Then the caller has 300 tokens of one generation in order

    @one-generation
    Scenario: sequences that are preempted in the middle lose and repeat nothing
        Given a fleet of 1 instance, 1 engine and 1 service, and engines with memory for 400 tokens
        When 12 callers stream generations of 90 tokens each at once
        Then every caller has 90 tokens of one generation in order
        And the engines have preempted

    @graceful-stop
    Scenario: two of three instances are stopped at once in the middle of stamps and streams
        Given a fleet of 3 instances, 2 engines and 2 services
        When a caller begins to stream a generation of 500 tokens through instance 1
        And a caller begins to stream a generation of 500 tokens through instance 2
        And tokens have been produced
        And 30 stamps are begun through all instances, each key twice
        And instance 1 gets SIGTERM
        And instance 2 gets SIGTERM
        And all calls have ended
        Then no key ran twice
        And every stamp was answered with 200, 201 or 409
        And both streams hold 500 tokens
        And the processes of instance 1 have ended by themselves
        And the processes of instance 2 have ended by themselves

    @leaving
    Scenario: a recalled batch gets no new work
        Given a fleet of 3 instances, 3 engines and 2 services
        When batch "batch-2" is withdrawn by the operators' command
        And generations are asked for without pause for 6000 ms
        Then engine 2 began nothing in the last 3000 ms

    @one-generation
    Scenario: more narratives than the retry budget arrive whole after their engine is killed
        Given a fleet of 1 instance, 2 engines and 1 service, and engines with memory for 40000 tokens
        When 80 callers begin whole narratives of 500 tokens through instance 1
        And an engine holds 28 requests
        And the engine that streams most is killed
        And the streams have ended
        Then every answer holds 500 tokens

    @not-run
    Scenario: a generation that was lost and finds no other place is not told as not run
        Given a fleet of 1 instance, 1 engine and 1 service
        When a caller begins a whole narrative of 2000 tokens with a deadline of 4000 ms through instance 1
        And tokens have been produced
        And the engine that streams is killed
        And the streams have ended
        Then the answer has the verdict "may-have-run"

    @not-run
    Scenario: an urgent request is given up in time although patient ones fill the gateway
        Given a fleet of 1 instance, 1 engine and 1 service
        When all engines are killed
        And 80 callers begin whole narratives of 20 tokens through instance 1
        And 500 ms of real time pass
        And a caller asks for a "hasty" generation through instance 1
        Then the answer has the error "busy" and the verdict "not-run"
        And the answer came within 2500 ms
