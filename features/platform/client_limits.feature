@platform @client-limits
Feature: Misbehaving clients neither fill the memory nor displace ordinary callers

    The instances of the first outline run under the memory flags and settings of the smallest machine: 178 MB in all and
    2,212 descriptors. A crowd connects at once, and replaces connections that are closed.

    Scenario Outline: beside <kind>, an instance stays within its memory and serves callers on open connections
        Given an instance on the smallest machine
        When clients send <kind> to it for 4000 ms
        Then the instance runs and has used at most 165 MB
        And at least 0.85 of the requests on open connections were served in time
        And a line of the instance tells that clients were closed

        Examples:
            | kind                                 |
            | bodies without their last byte       |
            | many header fields                   |
            | pipelined requests that are not read |

    Scenario: bodies without their last byte at the readiness port do not hold its descriptors
        Given an instance on the smallest machine
        When 500 clients send bodies without their last byte to its readiness port for 2500 ms
        Then the instance has at most 130 open descriptors

    Scenario Outline: <request> is served in calm
        Given a serving site
        When a client sends <request>
        Then the client gets the status 200

        Examples:
            | request                                   |
            | the largest body in chunks of one byte    |
            | a body of which 1 KB arrives every 300 ms |
            | 1900 header fields                        |
            | a query of 3000 fields                    |

    Scenario: pipelined requests are answered in their order
        Given a serving site
        When a client pipelines 8 requests
        Then the client gets the status 200 8 times

    @read-in-parts
    Scenario: a connection that is read in parts goes on after the server has paused it
        Given a server that answers with 64 KB and has closed a pipelining client
        When a client pipelines 10 requests of 1 KB to it
        Then the client gets the status 200 10 times

    Scenario: a body over the limit gets 413, and its connection does not stay open
        Given a serving site
        When a client sends a body without end
        Then the client gets the status 413
        And the connection of the client is closed within 2500 ms

    Scenario: a body that stops gets 408 and has not run, and an idle connection stays for the balancer's time
        Given a serving site whose idle timeout is 1000 ms
        When a client keeps an idle connection
        And a client sends a body that stops
        Then the idle connection is open after 800 ms
        And the client gets the status 408
        And no target has received the request

    Scenario: a late head does not put a 408 in the place of the response to the request before it
        Given a serving site whose head timeout is 300 ms
        When a client sends a stamp that takes 2500 ms and half a head
        Then the client gets no status 408

    Scenario: the clients that hold most for longest are chosen
        Given clients that hold memory
            | client            | bytes | arriving | unsent | seconds |
            | large and old     | 60000 | yes      | 0      | 5       |
            | large and new     | 60000 | yes      | 0      | 0.01    |
            | small and old     | 3000  | yes      | 0      | 5       |
            | running           | 60000 | no       | 0      | 20      |
            | stream that reads | 20000 | no       | 40000  | 0.2     |
            | reader that stops | 20000 | no       | 40000  | 4       |
        Then "large and old, reader that stops" are dropped for a budget of 210000 bytes

    Scenario Outline: at the limit of connections, <kept> stays and a new client takes the place of another one
        Given a full instance with an idle timeout of 15 s, a connection without a request and <kept>
        When a new client connects
        Then the connection without a request is closed

        Examples:
            | kept                                       |
            | a caller that has been idle for 12 s       |
            | a request that runs                        |
            | a stream that is read                      |
