@platform @odd-entries
Feature: Objects of other writers in the platform's store, and odd values from outside

    Another writer may leave an object that is deeply nested or holds a value that is out of range. Such an object is
    logged and not used, and all others hold.

    # The entries name the address of a target that serves, so that each use of one would be seen there.
    Scenario Outline: a target entry with <fault> names no target, and the others hold
        Given a serving site
        When another writer writes a target entry with <fault>
        Then the entry names no target and one line of the log tells of it
        When the list of targets is read again
        And 6 callers send a "stamp"
        Then all responses have the status 200
        And a further target is listed within 500 ms
        And one line of the log tells of the entry

        Examples:
            | fault                             |
            | a very deep value                 |
            | a very deep address               |
            | a port out of range               |
            | port 0                            |
            | an address out of range           |
            | an infinite number of slots       |
            | more slots than a target has      |
            | a part of a slot                  |
            | an infinite cold time             |
            | a negative cold time              |
            | a cold time of years              |
            | an infinite start time            |
            | a start time before all times     |
            | a service of 2000 characters      |
            | a line break in its name          |
            | a name that is no Unicode text    |
            | no name                           |
            | a deep value in place of metadata |
            | an infinite revision              |

    Scenario Outline: a target whose sound entry gets <fault> is not used until its entry is sound again
        Given a serving site
        When the entry of a target gets <fault>
        Then that target is not listed, and 6 callers of a "stamp" are served by the others
        When its entry is sound again
        Then that target is listed within 500 ms

        Examples:
            | fault                       |
            | a very deep value           |
            | a port out of range         |
            | an infinite number of slots |
            | an infinite revision        |

    # A page that ends with such an object was taken for the last one.
    Scenario Outline: targets on pages of the list after an object with <fault> are in use
        Given a serving site
        When another writer writes a target entry with <fault> that is the last one of the first page
        And the instances are restarted
        Then all targets but that entry's are listed within 1500 ms

        Examples:
            | fault                          |
            | no name                        |
            | a name that is no Unicode text |
            | a very deep value              |

    # An odd address threw where a timer sends to the peer, which ended the process.
    Scenario Outline: an instance lives and serves beside a <source> with the address "<address>"
        Given a serving site
        When an instance receives a <source> with the address "<address>"
        Then the instance sends digests to its other peers for 1000 ms
        And a "stamp" gets the status 200 within 100 ms

        Examples:
            | source           | address         |
            | registration     | 127.0.0.1:99999 |
            | registration     | no address      |
            | digest           | 127.0.0.1:99999 |
            | digest           | 300.1.1.1:80    |
            | request of state | 127.0.0.1:99999 |
            | list of peers    | 127.0.0.1:99999 |
            | relay address    | 127.0.0.1:99999 |

    Scenario: a peer's message that is too deeply nested closes its connection alone
        Given a serving site
        When a peer sends an instance a message of 200000 levels
        Then one line of the log tells of the failed connection
        And a "stamp" gets the status 200 within 100 ms

    Scenario Outline: of a peer's message with <fault>, <rest> is used
        When a peer's message with <fault> is parsed
        Then of the message <rest> is used

        Examples:
            | fault                           | rest                     |
            | no fault                        | everything               |
            | an odd address of a peer        | all but that peer        |
            | a target with an odd address    | all but that target      |
            | a target with infinite slots    | all but that target      |
            | a changed target without end    | the target's removal     |
            | an infinite load of a target    | no load of that target   |
            | an infinite revision of targets | nothing                  |
            | a digest of an infinite era     | nothing                  |
            | no targets where a list belongs | nothing                  |
            | a configuration of infinite limits | nothing               |

    # An idle timeout that no timer takes ended the process with the next response.
    Scenario Outline: a configuration whose <value> is <text> is not adopted, and the former stays in force
        Given a serving site
        When another writer writes configuration version 9 whose <value> is <text>
        Then one line of the log tells of the configuration
        And 6 callers of a "stamp" are served, and the version in force is 5
        When the operator writes configuration version 12 without the route "lookup"
        Then a "lookup" gets the status 404 within 1500 ms

        Examples:
            | value                    | text              |
            | idle timeout             | 1e999             |
            | idle timeout             | -1                |
            | time to read headers     | 1e999             |
            | largest body             | 1e999             |
            | version                  | 1e999             |
            | list of routes           | a very deep value |
            | number of engine slots   | 1e999             |
            | timeout of the routes    | -1e999            |
            | weight of a split        | 1e999             |

    # "100" and "2" are what a sound report states of its waiting requests and of the events of its only generation.
    Scenario Outline: an engine's report with <fault> counts as <result>
        When an engine answers a call for its report with <fault>
        Then the report counts as <result>

        Examples:
            | fault                          | result                                   |
            | no fault                       | sound                                    |
            | a very deep value              | sound                                    |
            | an infinite time until it ends | one without a time until it ends         |
            | a negative time until it ends  | one that ends at once                    |
            | infinite waiting requests      | none                                     |
            | a deep value in place of runs  | none                                     |
            | a generation of infinite size  | one without that generation              |
            | a generation that is a number  | one without that generation              |

    # A handle is sent in a header and in a path, where it threw.
    Scenario Outline: an answer to a step of a move with <fault> counts as <result>
        When an engine answers a step of a move with <fault>
        Then the step counts as "<result>"

        Examples:
            | fault                              | result     |
            | no fault                           | copied     |
            | a handle with a line break         | unanswered |
            | a handle that is no Unicode text   | unanswered |
            | a very deep handle                 | unanswered |
            | infinite events                    | unanswered |
            | a negative number of events        | unanswered |

    Scenario Outline: a target's response with the header "<name>" of "<value>" states <result>
        When a response of a target with the header "<name>" of "<value>" is decoded
        Then the target has stated <result>

        Examples:
            | name         | value | result                       |
            | retry-after  | 0.5   | a pause of 500 ms            |
            | retry-after  | 1e9   | no pause                     |
            | retry-after  | 400 digits | a pause of 600000 ms    |
            | retry-after  | 99999999999 | a pause of 600000 ms   |
            | server-limit | 20    | a limit of 20                |
            | server-limit | 400 digits | no limit                |

    Scenario Outline: a caller's header "<name>" of "<value>" counts as <result>
        When a caller's request with the header "<name>" of "<value>" is decoded
        Then of the caller's header <result> is used

        Examples:
            | name         | value       | result                    |
            | token-counts | 100,48      | a size of 100 and 48      |
            | token-counts | -100,48     | no size                   |
            | token-counts | 1e300,48    | no size                   |
            | token-counts | 100,1e999   | no size                   |
            | deadline-ms  | 3000        | a timeout of 3000 ms      |
            | deadline-ms  | 1e300       | a timeout of 2147483647 ms |
            | deadline-ms  | -5          | a timeout of 0 ms         |

    # Nothing was sent, but the verdict was "may have run".
    Scenario Outline: a request that cannot be sent for its <part> is known not to have run
        When a request to a target is sent with an odd <part>
        Then the request failed before it was connected

        Examples:
            | part    |
            | address |
            | header  |

    # The watch of a kind ended for good with the first error that was not expected.
    Scenario: the store is followed after an update that could not be applied
        Given a serving site
        When a listener of a watcher fails once while a target entry is applied
        Then the watcher has logged the failed update and knows all targets within 1500 ms
