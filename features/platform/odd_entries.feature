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
