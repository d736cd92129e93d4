@orders
Feature: Orders to targets are given by one instance at a time, and loads share one budget

    Scenario Outline: targets that <checks> fencing numbers are brought to their models while <fault>
        Given 5 instances, and 4 engines without models that <checks> fencing numbers, with seed <seed>
        When 2500 ms pass
        And the owner of engine 1 is <fault>
        And 30000 ms pass
        And instances 1,2,3,4,5 are resumed
        And all cuts are mended
        And 60000 ms pass
        Then every engine holds its models
        And no engine followed an order older than one that it had seen
        And at most 2 loads ran at one time

        Examples:
            | checks | fault                  | seed |
            | check  | left alone             | 1    |
            | check  | killed                 | 2    |
            | check  | paused                 | 3    |
            | check  | cut off from its peers | 4    |
            | ignore | left alone             | 5    |
            | ignore | killed                 | 6    |
            | ignore | paused                 | 7    |
            | ignore | cut off from its peers | 8    |

    Scenario Outline: orders go on after the platform <platform>
        Given 5 instances, and 4 engines without models that ignore fencing numbers, with seed <seed>
        When the platform <platform>
        And 5000 ms pass
        And the platform works
        And 90000 ms pass
        Then every engine holds its models
        And no engine followed an order older than one that it had seen
        And at most 2 loads ran at one time

        Examples:
            | platform                       | seed |
            | is down                        | 11   |
            | loses every answer to a change | 12   |
            | is slow                        | 13   |
