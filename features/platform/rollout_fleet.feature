@platform @rollout
Feature: Rollouts keep their limits over a whole fleet

    65 instances, of which each sees a request every second or so, decide in virtual time; digests and the store's reports
    take their time. The service "plain" has 4 targets, "pool" has 42 engines with streams of up to 15 s.

    # Guards against exposure that each instance grants by itself, and against good versions that never get through.
    Scenario Outline: a good version of "<service>" is completed while <situation>
        When 65 instances roll out a version of "<service>" that is good within 20 s while <situation>
        Then the rollout ends as "completed" by its time limit
        And the new version got at most 0.1 of the requests and 50

        Examples:
            | service | situation                                                       |
            | plain   | nothing else happens                                            |
            | pool    | nothing else happens                                            |
            | plain   | all instances restart                                           |
            | pool    | the first two instances die                                     |
            | plain   | half of the instances are cut off from the others and the store |

    # Guards against verdicts that come too late, do not reach all instances, or miss a kind of badness.
    Scenario Outline: a version of "<service>" that <behaviour> is rolled back while <situation>
        When 65 instances roll out a version of "<service>" that <behaviour> within 30 s while <situation>
        Then the rollout ends as "rolled_back" by its time limit
        And the new version got at most 0.1 of the requests and 50
        And it got nothing later than 5000 ms after its 50th bad answer

        Examples:
            | service | behaviour                      | situation                                                       |
            | plain   | fails at once                  | nothing else happens                                            |
            | pool    | fails at once                  | half of the instances are cut off from the others and the store |
            | plain   | is slow at once                | every tenth instance is cut off from all others                 |
            | pool    | is slow at once                | nothing else happens                                            |
            | plain   | fails after 15 s               | the first two instances die                                     |
            | pool    | fails after 15 s               | nothing else happens                                            |
            | plain   | fails under load               | nothing else happens                                            |
            | pool    | fails on one route             | nothing else happens                                            |
            | plain   | fails on one route             | a few instances get most of the requests                        |
            | plain   | fails at once                  | the store is down for 6 s                                       |

    # Guards against instances that go on because each of them has seen too little to decide.
    Scenario: instances that hear no other send nothing to a new version
        When 65 instances roll out a version of "plain" that fails always after 4 s within 40 s while no instance hears another
        Then it got nothing later than 5000 ms after its 50th bad answer

    # Guards against verdicts that each instance would have to find by itself.
    Scenario: an instance stops as soon as a peer has told it of a verdict
        When a peer tells an instance that the new version is bad
        Then the instance sends the new version nothing of 100 requests

    # Shows that the limits do not hold by themselves.
    Scenario: without decisions a bad version gets half of the requests
        When 65 instances send requests to all targets of "plain" although a new version fails at once
        Then the new version got more than 0.1 of the requests and 50

    # Guards against evidence that a mean over all routes, or over the whole time, would hide.
    Scenario Outline: <count> bad answers of <answers> on a route count as "<verdict>" beside <old> of 400 at the old version
        When a version gives <count> <kind> answers of <answers> on a route where the old one gave <old> of 400
        Then the verdict is "<verdict>"

        Examples:
            | count | kind   | answers | old | verdict |
            | 3     | failed | 10      | 0   | bad     |
            | 1     | failed | 10      | 0   | good    |
            | 3     | failed | 400     | 3   | good    |
            | 12    | failed | 40      | 100 | good    |
            | 20    | slow   | 40      | 20  | bad     |
            | 4     | slow   | 40      | 20  | good    |

    # Guards against one crash of a target that ends many streams at once.
    Scenario: connections that are lost with a target count once
        When 10 connections to a target of the new version are lost within a second
        Then the verdict is "good"
