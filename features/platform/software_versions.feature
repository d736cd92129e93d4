@platform @software-version
Feature: A stream goes on only at the software version that began it

    Targets of several software versions may serve side by side, and what two of them generate does not fit together. A
    "verdict" may be resumed by its caller at any instance, and by an instance within one response; a "narrative" is only
    moved. A caller that resumes a stream names the attempt that brought its first event.

    # The streams of inc1 of issue 29 went on at engines of another version after a crash.
    Scenario: verdicts that break off go on only at engines of the software version that began them
        Given a serving site with 1 instance and engines at the software versions "v1, v1, v2, v2, v2, v2"
        When callers start 12 streams of the kind "verdict"
        And the first engine of each software version breaks off its streams after 4 events
        Then no stream holds events of two software versions
        And all streams are whole

    Scenario: verdicts are broken off if no engine of their software version is left
        Given a serving site with 1 instance and engines at the software versions "v1, v2, v2"
        When callers start 12 streams of the kind "verdict"
        And the first engine of each software version breaks off its streams after 4 events
        Then no stream holds events of two software versions

    Scenario: narratives are moved only to engines of the software version that began them
        Given a serving site with 1 instance and engines at the software versions "v1, v1, v2, v2, v2, v2"
        When callers start 12 streams of the kind "narrative"
        And the first engine of each software version announces its shutdown after 4 events
        Then no stream holds events of two software versions
        And all streams are whole

    Scenario: verdicts that callers resume at other instances go on only at the software version that began them
        Given a serving site with 3 instances and engines at the software versions "v1, v1, v2, v2, v2, v2"
        When callers start 12 streams of the kind "verdict"
        And callers lose their connections after 4 events and resume their streams at other instances
        Then no stream holds events of two software versions
        And all streams are whole

    # The last report of issue 29: all instances are killed during a release or after it.
    Scenario Outline: verdicts that callers resume after all instances were killed after <events> events do not change their software version
        Given a serving site with 3 instances and engines at the software versions "v1, v1, v2, v2, v2, v2"
        When callers start 12 streams of the kind "verdict"
        And all instances are killed after <events> events and callers resume their streams
        And all instances are killed after <later> events and callers resume their streams
        Then no stream holds events of two software versions
        And all streams are whole

        Examples:
            | events | later |
            | 1      | 3     |
            | 4      | 8     |

    Scenario: verdicts of a software version whose engines have just left are refused if all instances were killed
        Given a serving site with 3 instances and engines at the software versions "v1, v1"
        When callers start 12 streams of the kind "verdict"
        And 2 engines at the software version "v2" start and those at "v1" leave after 4 events
        And all instances are killed after 4 events and callers resume their streams
        Then no stream holds events of two software versions
        And all resumptions are refused as not run

    Scenario: verdicts that began before a release go on at their software version if all instances are killed during it
        Given a serving site with 3 instances and engines at the software versions "v1, v1"
        When callers start 12 streams of the kind "verdict"
        And 4 engines at the software version "v2" start after 4 events
        And all instances are killed after 4 events and callers resume their streams
        Then no stream holds events of two software versions
        And all streams are whole

    Scenario: verdicts of a service with a single software version go on after all instances were killed
        Given a serving site with 3 instances and engines at the software versions "v1, v1"
        When callers start 12 streams of the kind "verdict"
        And all instances are killed after 4 events and callers resume their streams
        Then no stream holds events of two software versions
        And all streams are whole

    Scenario: a resumption that names no attempt is refused while two software versions serve
        Given a serving site with 3 instances and engines at the software versions "v1, v1, v2, v2, v2, v2"
        When callers start 12 streams of the kind "verdict"
        And callers lose their connections after 4 events and resume their streams without naming an attempt
        Then no stream holds events of two software versions
        And all resumptions are refused as not run

    # Guards against an instance that is out of step, and continues a stream at the only version that it knows of.
    Scenario Outline: verdicts of a new version that are resumed at an instance which has missed it<named> do not change their version
        Given a serving site with 3 instances and engines at the software versions "v1, v1"
        When all instances know the baseline of the engines
        And the store and all other instances lose their connections to instance 3
        And 4 engines at the software version "v2" start
        And callers start 12 streams of the kind "verdict" at the first 2 instances
        And callers lose their connections after 4 events and resume their streams at instance 3<named>
        Then no stream holds events of two software versions
        And all resumptions are refused as not run

        Examples:
            | named                       |
            |                             |
            | , without naming an attempt |

    Scenario Outline: verdicts of a single version go on at other instances<named> while the store is down
        Given a serving site with 3 instances and engines at the software versions "v1, v1"
        When all instances know the baseline of the engines
        And the store resets connections
        And callers start 12 streams of the kind "verdict" at the first 2 instances
        And callers lose their connections after 4 events and resume their streams at instance 3<named>
        Then no stream holds events of two software versions
        And all streams are whole

        Examples:
            | named                       |
            |                             |
            | , without naming an attempt |

    Scenario Outline: <instances> instances record <rate> streams a second with at most one call for each, and without long waits
        When <instances> instances begin <rate> streams a second at a second software version for 2000 ms
        Then the store gets at most 1 write for each stream, and at most 1 list for each instance
        And 95 in 100 first events wait less than 60 ms

        Examples:
            | instances | rate |
            | 6         | 12   |
            | 6         | 200  |
            | 73        | 47   |
            | 195       | 40   |

    Scenario Outline: a resumption <what> is <end>
        When a stream is resumed whose record is "<record>", with the baseline "<baseline>", <named>, <read>, <alone>
        Then it is <end>

        Examples:
            | what                                             | record | baseline | named                  | read                       | alone                       | end           |
            | with a record                                    | v2     | v1       | with its attempt named | with records read          | beside other versions       | bound to "v2" |
            | with a record, while the store is down           | v2     | v1       | with its attempt named | without records read       | beside other versions       | bound to "v2" |
            | without a record                                 |        | v1       | with its attempt named | with records read          | beside other versions       | bound to "v1" |
            | without a record, while the store is down        |        | v1       | with its attempt named | without records read       | beside other versions       | unknown       |
            | while the store is down and one version serves   |        | v1       | with its attempt named | without records read       | without another version     | bound to "v1" |
            | while it is not known whether one version serves |        | v1       | with its attempt named | without records read       | without another version, but out of step | unknown |
            | that names no attempt                            |        | v1       | without a named attempt | with records read         | beside other versions       | unknown       |
            | that names no attempt while one version serves   |        | v1       | without a named attempt | without records read      | without another version     | bound to "v1" |
            | while no baseline is known                       |        |          | with its attempt named | with records read          | beside other versions       | unknown       |
