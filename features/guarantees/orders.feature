@orders
Feature: One instance at a time sends orders to a target, and all model loads share one budget
    An order tells a target to load a model. Its fencing token shows whether the sender's lease is outdated.

    Scenario Outline: targets that <checks> fencing tokens load their models while the owner of engine 1 is <fault>
        Given 5 instances, and 4 engines without models that <checks> fencing tokens, with seed <seed>
        When 2500 ms pass
        And the owner of engine 1 is <fault>
        And 30000 ms pass
        And instances 1,2,3,4,5 are resumed
        And all connections are restored
        And 60000 ms pass
        Then every engine has loaded its models
        And no engine accepted an order with an outdated or reused fencing token
        And at most 2 model loads ran at the same time

        Examples:
            | checks | fault                  | seed |
            | check  | left running           | 1    |
            | check  | killed                 | 2    |
            | check  | paused                 | 3    |
            | check  | cut off from its peers | 4    |
            | ignore | left running           | 5    |
            | ignore | killed                 | 6    |
            | ignore | paused                 | 7    |
            | ignore | cut off from its peers | 8    |

    Scenario Outline: all models are loaded after a time in which the platform <platform>
        Given 5 instances, and 4 engines without models that ignore fencing tokens, with seed <seed>
        When the platform <platform>
        And 5000 ms pass
        And the platform works
        And 90000 ms pass
        Then every engine has loaded its models
        And no engine accepted an order with an outdated or reused fencing token
        And at most 2 model loads ran at the same time

        Examples:
            | platform                        | seed |
            | is down                         | 11   |
            | loses every response to a write | 12   |
            | is slow                         | 13   |
