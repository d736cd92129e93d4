@platform @config @zone-out
Feature: The platform's store fails and the site goes on

    Scenario Outline: a call to the store gives <reply> when <fault>
        When the store is asked while <fault>
        Then the store's reply is "<reply>"

        Examples:
            | fault                        | reply        |
            | nothing is wrong             | ok           |
            | its pages hold one object    | ok           |
            | it refuses with 503          | refused      |
            | it refuses with 429          | refused      |
            | it resets connections        | unanswered   |
            | it never answers             | unanswered   |
            | it answers nonsense          | unanswered   |
            | a watch's history is gone    | history-gone |
            | the answer to a put is lost  | unanswered   |

    Scenario Outline: a new configuration is in force after the store <fault>
        Given a serving site
        When the store <fault>
        And the operator writes version 9 without the route "lookup"
        And the store recovers
        Then a "lookup" is answered with 404 within 1500 ms

        Examples:
            | fault                         |
            | works                         |
            | resets connections            |
            | refuses with 503              |
            | answers nonsense              |
            | forgets its history           |

    Scenario Outline: a configuration with <routes> further routes reaches 6 instances, three of them from the <source>
        Given a serving site with 6 instances
        And the first watch of each instance has ended
        When the operator writes version 9 with <routes> further routes
        Then each instance has adopted version 9 within 1500 ms
        And the instances that do not watch got it from the "<source>"

        Examples:
            | routes | source             |
            | 10     | peer or store list |
            | 300    | store list         |

    Scenario Outline: an instance that learns a configuration from the <source> tells its peers <told>
        When an instance learns a configuration from the "<source>"
        Then it tells its peers "<told>"

        Examples:
            | source     | told    |
            | store      | all     |
            | store list | nothing |
            | peer one   | nobody  |

    Scenario: an older configuration never comes back
        Given a serving site
        When the operator writes version 9 without the route "lookup"
        Then a "lookup" is answered with 404 within 1500 ms
        When the operator writes version 7 with all routes
        Then a "lookup" is still answered with 404 after 300 ms

    Scenario: a watch that goes silent does not hold up a new configuration
        Given a serving site with 2 instances
        When the watches of instance 2 go silent
        And the operator writes version 9 without the route "lookup"
        Then a "lookup" is answered with 404 by both instances within 1500 ms

    Scenario: an instance that starts while the store is down learns from its peers
        Given a serving site
        When the store resets connections
        And another instance starts
        Then it is ready within 1500 ms

    Scenario: an instance that knows nothing refuses truthfully
        Given a site whose store is down
        When a caller sends a "stamp"
        Then the answer is 503 and whole
        And the caller may come back within 2 seconds

    Scenario: targets that are gone while the store is down cost no request
        Given a serving site with 4 targets of each service
        When the store resets connections
        And 2 targets of each service are gone
        And 30 callers send a "stamp" one after the other
        And 10 callers send a "narrative" one after the other
        Then all answers are 200

    Scenario: an engine that leaves while the store is down is noticed by asking it
        Given a serving site whose streams take 250 ms an event
        When the store resets connections
        And a caller begins a "narrative"
        And its engine tells only itself that it leaves after 1 events
        Then the stream is whole and its events are in order
        And the request moved once

    Scenario: an entry of another writer names no target
        Given a serving site
        When the store gets these entries of targets
            | name  | entry                                                    |
            | odd-1 | {"service":"ledger"}                                     |
            | odd-2 | {"service":"ledger","address":"1.2.3.4:1","zone":"z","state":"melting","slots":2} |
            | odd-3 | "text"                                                   |
            | odd-4 | {"service":7,"address":"1.2.3.4:1","zone":"z","state":"ready","slots":2} |
        And 8 callers send a "stamp"
        Then all answers are 200

    Scenario: a zone that operators empty gets no new work
        Given a serving site
        When the operator empties "zone-a"
        Then a "stamp" is refused with 503 within 500 ms
        When the operator returns "zone-a"
        Then a "stamp" is answered with 200 within 500 ms
