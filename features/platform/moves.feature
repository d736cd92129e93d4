@platform @one-generation @leaving
Feature: Generations outlive an engine that leaves

    Scenario Outline: a narrative whose engine <event> ends <end> when the <step> copy is answered with <answer>
        Given a serving site with slow streams
        When the <step> copy is answered with <answer>
        And a caller begins a "narrative"
        And its engine <event> after 3 events
        Then the stream is <end> and its events are in order
        And the request started once

        Examples:
            | event                  | step  | answer | end        |
            | says that it leaves    | no    | 200    | whole      |
            | is no longer listed    | no    | 200    | whole      |
            | says that it leaves    | first | 404    | whole      |
            | says that it leaves    | first | 409    | whole      |
            | says that it leaves    | first | 503    | whole      |
            | says that it leaves    | first | 0      | whole      |
            | says that it leaves    | last  | 404    | whole      |
            | says that it leaves    | last  | 409    | whole      |
            | says that it leaves    | last  | 503    | whole      |
            | says that it leaves    | last  | 0      | whole      |
            | crashes                | no    | 200    | broken off |

    Scenario: runs move away from engines that go unlisted together before they are gone
        Given a serving site with 9 engines whose streams take 100 ms an event
        When a caller begins a "narrative"
        And its engine and two others are no longer listed after 3 events and crash 500 ms later
        Then the stream is whole and its events are in order
        And the request started once

    Scenario: a moved run that its destination refuses goes back to its source
        Given a serving site with slow streams
        When a caller begins a "narrative"
        And the other engine gives "a misdirection" 1 times
        And its engine says that it leaves after 3 events
        Then the stream is whole and its events are in order
        And the request started once

    Scenario: a verdict goes on at another engine where its own crashes
        Given a serving site with slow streams
        When a caller begins a "verdict"
        And its engine crashes after 3 events
        Then the stream is whole and its events are in order
