@platform @config @zone-out
Feature: Requests are served while the platform's store fails

    The store holds the configuration, the entries of the targets and the evacuated zones. A few elected instances watch
    it and forward changes to the others.

    Scenario Outline: a call to the store has the result <result> while <fault>
        When the store is called while <fault>
        Then the result of the call is "<result>"

        Examples:
            | fault                                 | result       |
            | there is no fault                     | ok           |
            | each of its pages holds one object    | ok           |
            | it responds with 503                  | refused      |
            | it responds with 429                  | refused      |
            | it resets connections                 | unanswered   |
            | it never responds                     | unanswered   |
            | it responds with invalid JSON         | unanswered   |
            | it sends other bytes after its reply  | ok           |
            | it sends an upgrade                   | unanswered   |
            | the history for a watch is discarded  | history-gone |
            | the response to a put is lost         | unanswered   |

    Scenario Outline: a new configuration takes effect after the store <fault>
        Given a serving site
        When the store <fault>
        And the operator writes configuration version 9 without the route "lookup"
        And the store recovers
        Then a "lookup" gets the status 404 within 1500 ms

        Examples:
            | fault                         |
            | works                         |
            | resets connections            |
            | responds with 503             |
            | responds with invalid JSON    |
            | discards its history          |

    Scenario Outline: a configuration with <routes> additional routes reaches 6 instances, four of them from a <source>
        Given a serving site with 6 instances
        And the instances have taken their places in the order of watchers
        And 2 instances watch the store
        When the operator writes configuration version 9 with <routes> additional routes
        Then each instance has adopted configuration version 9 within 1500 ms
        And the two that watch the store got it from there, and the others from a "<source>"

        Examples:
            | routes | source             |
            | 10     | peer               |
            | 300    | peer               |

    Scenario: an instance that loses its place in the order of watchers ends its waiting watches
        Given a serving site with 2 instances
        And 2 instances watch the store
        When another instance starts
        Then 3 instances watch the store within 3000 ms
        And 2 instances watch the store within 3000 ms

    Scenario Outline: a watcher that loses its place in the order for <milliseconds> ms <result>
        Given a watcher of the store whose watches are waiting
        When the watcher loses its place in the order for <milliseconds> ms
        Then the watcher <result>

        Examples:
            | milliseconds | result                    |
            | 600          | makes no further call     |
            | 3000         | lists and watches again   |

    # "all": an update with the configuration is sent; "nothing": one without it; "nobody": no update is sent.
    Scenario Outline: an instance that adopts a configuration from the <source> sends its peers <update>
        When an instance adopts a configuration from the "<source>"
        Then the update to its peers is "<update>"

        Examples:
            | source     | update  |
            | store      | all     |
            | store list | nothing |
            | peer one   | nobody  |

    Scenario: an older configuration never replaces a newer one
        Given a serving site
        When the operator writes configuration version 9 without the route "lookup"
        Then a "lookup" gets the status 404 within 1500 ms
        When the operator writes configuration version 7 with all routes
        Then a "lookup" still gets the status 404 after 300 ms

    Scenario: a stalled watch does not delay a new configuration
        Given a serving site with 2 instances
        When the watches of instance 2 stall
        And the operator writes configuration version 9 without the route "lookup"
        Then a "lookup" gets the status 404 from both instances within 1500 ms

    # An instance counts as connected again three seconds after its connections have failed, and applies what was written
    # more than two seconds ago.
    Scenario: a configuration is applied within three seconds after the connections of all watches have gone silent
        Given a serving site
        When the connections of all watches go silent right after one of the configuration has begun
        And the operator writes configuration version 9 without the route "lookup"
        Then each instance has adopted configuration version 9 within 2900 ms

    # Guards against instances that act on an old state because the watchers, on which they depend, notice too late that
    # the store no longer answers them.
    Scenario Outline: a change reaches the instances that the store serves while it <how> to the first <count>
        Given a serving site with 6 instances
        And the instances have taken their places in the order of watchers
        When the store <how> to the first <count> of them right after a watch of the configuration has begun
        And the operator writes configuration version 9 with <routes> additional routes
        And the operator evacuates "zone-b"
        And a target of each service announces to the store that it leaves
        Then the other instances log these events within 2000 ms
            | configuration adopted |
            | emptied zones changed |
            | target leaving        |

        Examples:
            | how              | count | routes |
            | is silent        | 2     | 10     |
            | is silent        | 2     | 350    |
            | is silent        | 3     | 350    |
            | answers with 503 | 3     | 350    |

    # Guards against a watcher that was paused and removes a target that has come back, here and at its peers.
    Scenario Outline: a watch that is behind a peer's list does not remove a target that has come back: <reply>
        Given a watcher that knows a target, and a peer's list at revision 30 that has it again since revision 25
        When its watch returns "<reply>"
        Then the watcher <result>

        Examples:
            | reply                                      | result             |
            | removed, up to revision 22                 | uses the target    |
            | removed, up to revision 30                 | uses the target    |
            | removed and added, up to revision 35       | uses the target    |
            | removed, up to revision 40                 | has no such target |

    Scenario: an instance that starts while the store is down gets its state from its peers
        Given a serving site
        When the store resets connections
        And another instance starts
        Then the new instance is ready within 1500 ms

    Scenario: an instance without a configuration refuses a request as not run
        Given a serving site whose store is down
        When a caller sends a "stamp"
        Then the response has the status 503 and is whole
        And the caller is told that the request did not run and to retry within 2 seconds

    Scenario: no request fails if targets shut down while the store is down
        Given a serving site with 4 targets of each service
        When the store resets connections
        And 2 targets of each service shut down
        And 30 callers send a "stamp" one after the other
        And 10 callers send a "narrative" one after the other
        Then all responses have the status 200

    Scenario: the shutdown of an engine while the store is down is detected from the engine's own report
        Given a serving site whose engines send an event every 250 ms
        When the store resets connections
        And a caller starts a "narrative"
        And its engine announces its shutdown only in its own report after 1 events
        Then the stream is whole and its events are in order
        And the generation was moved once

    Scenario: invalid target entries in the store are ignored
        Given a serving site
        When these target entries are written to the store
            | name  | entry                                                    |
            | odd-1 | {"service":"ledger"}                                     |
            | odd-2 | {"service":"ledger","address":"1.2.3.4:1","zone":"z","state":"melting","slots":2} |
            | odd-3 | "text"                                                   |
            | odd-4 | {"service":7,"address":"1.2.3.4:1","zone":"z","state":"ready","slots":2} |
        And 8 callers send a "stamp"
        Then all responses have the status 200

    Scenario: an evacuated zone gets no new requests
        Given a serving site
        When the operator evacuates "zone-a"
        Then a "stamp" gets the status 503 within 500 ms
        When the operator ends the evacuation of "zone-a"
        Then a "stamp" gets the status 200 within 500 ms
