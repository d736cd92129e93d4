@platform @time-limits
Feature: Calls end at their time limit

    # Guards against calls that wait for ever because a garbage collection has removed the timer of their time limit.
    Scenario Outline: <call> without a complete response ends at its time limit although garbage is collected
        When <call> with a time limit of 500 ms gets no complete response and garbage is collected in between
        Then the call has ended after at most 1000 ms

        Examples:
            | call                                                 |
            | a watch of the store                                 |
            | a narrative                                          |
            | a narrative whose engine sends a byte now and then   |
            | a narrative whose engine sends comments now and then |
            | a stamp                                              |
            | a request in the queue of a gateway                  |
