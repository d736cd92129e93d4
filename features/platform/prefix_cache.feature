@platform @prefix-cache
Feature: Cached parts of prompts weighed against the wait, without a network

    An engine does not read a part of a prompt again that is cached behind the same leading parts. What is cached is an
    estimate of each instance, from the prompts that it has seen engines read. A saving counts as much as a wait for the
    same tokens costs.

    Scenario Outline: <held> cached tokens beside <waiting> waiting tokens and <running> running tokens
        When engine "a" has <held> tokens of a prompt cached, <waiting> prompt tokens waiting and <running> tokens running, and engine "b" is empty
        Then engine <choice> is selected, and <counted> further prompt tokens wait there

        Examples:
            | held  | waiting | running | choice | counted |
            | 0     | 0       | 1000    | "b"    | 3000    |
            | 3000  | 0       | 0       | "a"    | 1500    |
            | 350   | 0       | 1000    | "a"    | 2825    |
            | 350   | 0       | 2500    | "b"    | 3000    |
            | 350   | 400     | 0       | "b"    | 3000    |
            | 3000  | 2900    | 0       | "a"    | 1500    |
            | 3000  | 3100    | 0       | "b"    | 3000    |
            | 99999 | 3100    | 0       | "b"    | 3000    |

    Scenario: nothing changes without cached parts
        When 200 requests are placed without cached parts, with the random numbers of an earlier version
        Then the targets and scores are those of that version

    Scenario Outline: an engine with <free> free tokens <time> ms after reading two prompts, beside <others> tokens a second of other instances
        Given an engine has read the prompt "s:200,x:2500" and 1 second later "s:200,y:2600"
        When it has <free> free tokens <time> ms later, and other instances make it read <others> tokens a second
        Then it is believed to have <first> tokens of the first prompt and <second> of the second

        Examples:
            | free  | time  | others | first | second |
            | 20000 | 1     | 0      | 2700  | 2800   |
            | 5000  | 1     | 0      | 200   | 2800   |
            | 2000  | 1     | 0      | 200   | 200    |
            | 150   | 1     | 0      | 0     | 0      |
            | -500  | 1     | 0      | 0     | 0      |
            | 20000 | 5000  | 2000   | 2700  | 2800   |
            | 20000 | 5000  | 2800   | 200   | 2800   |
            | 20000 | 8000  | 2800   | 0     | 0      |
            | 20000 | 19500 | 0      | 200   | 2800   |
            | 20000 | 20500 | 0      | 0     | 0      |

    Scenario: a part counts only behind the same leading parts and for the same model
        Given an engine has read the prompt "s:200,x:2500" and 1 second later "s:200,y:2600"
        Then it is believed to have 0 tokens of "x:2500,s:200", 200 of "s:200,z:10,x:2500" and 0 of "s:200,x:2500" for another model

    Scenario Outline: an engine <event>
        Given an instance has seen an engine of a paced service read a prompt of 3000 tokens
        When this happens to the engine: it <event>
        Then the instance believes that <tokens> tokens of the prompt are cached

        Examples:
            | event                           | tokens    |
            | answers on                      | 3000      |
            | restarts                        | 0         |
            | leaves the list                 | 0         |
            | crashes                         | 0         |
            | refuses for want of room        | 0         |
            | has no memory beside requests   | 0         |
            | is read late after a restart    | 0         |

    Scenario: what other instances displace is estimated from what this one sends, and an isolated one assumes nothing
        Then 4 prompts of 2000 tokens to each of 2 engines let 30 instances add 23200 tokens a second, and 58 a minute later
        And 4 prompts of 2000 tokens to each of 2 engines let 1 instances add 0 tokens a second, and 0 a minute later

    Scenario: what is kept stays bounded
        Then 1300 engines that have each read 300 prompts of 20 parts of 1 token have at most 64 parts each

    Scenario Outline: a popular first part of <tokens> tokens leaves the load of 57 engines balanced, known to <knowledge>
        When 84 instances place prompts of which 28 % have a first part of <tokens> tokens, known to <knowledge>
        Then the number of requests at the busiest engine is at most 1.1 times that without estimates
        And the 95th percentile of first tokens is at most 1.1 times that without estimates
        And the share of the tokens read is at most <read> times that without estimates

        Examples:
            | tokens | knowledge     | read  |
            | 350    | each instance | 1.01  |
            | 350    | all at once   | 0.999 |
            | 3000   | each instance | 1.01  |
            | 3000   | all at once   | 0.98  |

    Scenario: an instance is rarely wrong about what it believes to be cached
        When 84 instances place prompts of which 28 % have a first part of 350 tokens, known to each instance
        Then 85 % of the tokens that are believed to be cached are cached
