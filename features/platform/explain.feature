@platform @explain
Feature: An operator asks an instance where a request would go

    Scenario: an explanation has the parts of each score and the age of each input, and sends nothing
        Given a serving site whose engines state the load "0,0,8,150"
        And 2 callers send a "verdict" one after the other
        When an operator asks for "/verdict/1" as JSON, with the parts "aa:50,bb:50"
        Then the engine with the lowest score would get the request, and each score is the sum of its parts
        And one engine is believed to have 100 tokens of the prompt cached, which weighs as much as a wait for them
        And no target has received a request for it, and none has load

    Scenario: log and metrics say how many tokens were believed to be cached
        Given a serving site whose engines state the load "0,0,8,150"
        When callers send a "verdict" until one goes to an engine that has its prompt cached
        Then its log line and the metrics say that 100 tokens were believed to be cached

    Scenario Outline: <event>: a request of <tokens> tokens for "<path>" of "<account>" is explained with "<text>"
        Given a serving site with 1 engines that send an event every 200 ms
        And this is so: <event>
        When an operator asks for "<path>" with <tokens> tokens and the account "<account>"
        Then the tables have "<text>"

        Examples:
            | event                    | path       | tokens | account     | text                                         |
            | nothing special          | /verdict/1 | 100    | night-shift | decision: sent to engines-3, score           |
            | nothing special          | /verdict/1 | 100    | night-shift | 100 % of the route, not paced                |
            | nothing special          | /lookup/1  | 100    | night-shift | route: lookup (idempotent), priority 1       |
            | nothing special          | /nowhere/  | 100    | night-shift | refused: no route matches this host and path |
            | nothing special          | /verdict/1 | 100    | -           | refused: the route needs an account          |
            | nothing special          | /verdict/1 | 100    | nobody      | refused: no account has the name nobody      |
            | the engine leaves        | /verdict/1 | 100    | night-shift | leaving                                      |
            | the zone is evacuated    | /verdict/1 | 100    | night-shift | refused: no-target, retry after              |
            | the zone is evacuated    | /verdict/1 | 100    | night-shift | zone evacuated                               |
            | the engine has a request | /verdict/1 | 100    | night-shift | decision: sent to engines-3, score           |
            | the engine has a request | /verdict/1 | 40000  | night-shift | decision: waits for up to                    |
            | the engine has a request | /verdict/1 | 40000  | night-shift | full                                         |

        # Guards against an explanation of a paced service by the queue of the others.
        Examples:
            | event                                        | path       | tokens | account     | text                               |
            | the engine states its pace and has a request | /verdict/1 | 100    | night-shift | 100 % of the route, paced          |
            | the engine states its pace and has a request | /verdict/1 | 100    | night-shift | decision: sent to engines-3, score |
            | the engine states its pace and has a request | /verdict/1 | 40000  | night-shift | decision: waits for up to          |
            | the engine states its pace and has a request | /verdict/1 | 40000  | night-shift | full                               |

    Scenario: the administrative address refuses all methods but reading
        Given a serving site
        Then a "POST" of "/explain?host=site.example&path=/verdict/1" gets the status 405, and a "GET" 200
