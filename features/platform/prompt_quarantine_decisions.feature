@platform @quarantine
Feature: Parts of prompts that crash engines are told from those that only share prompts or engines with them

    An engine that begins to answer a prompt with a certain part crashes and is back after some seconds. All parts of the
    prompt but the last are under suspicion. A crash is named by its time in milliseconds, the parts in prompt order, the
    engine and its start. An answer on a part within the last 30 seconds vouches for the part. A quarantined part is
    refused for ten minutes.

    Scenario: a part is quarantined when three engines have ended on it
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | p x   | e1     | 1     |
            | 500  | y p   | e2     | 1     |
        Then the quarantined parts at 600 ms are ""
        When engines crash on prompts
            | at   | parts | engine | start |
            | 700  | p     | e3     | 1     |
        Then the quarantined parts at 700 ms are "p"
        And a prompt with the parts "z p" is refused at 700 ms for 600000 ms after 3 crashes
        And a prompt with the parts "x y" is not refused at 700 ms

    Scenario Outline: after <crashes> the quarantined parts are "<quarantined>"
        When engines crash on prompts
            | at       | parts | engine   | start    |
            | 0        | p     | e1       | 1        |
            | <second> | p     | e2       | 1        |
            | <third>  | p     | <engine> | <start>  |
        Then the quarantined parts at <third> ms are "<quarantined>"

        Examples:
            | crashes                                                | second | third | engine | start | quarantined |
            | the end of two engine starts, one seen by two requests | 100    | 150   | e2     | 1     |             |
            | the end of three engine starts in more than a minute   | 30000  | 60001 | e3     | 1     |             |
            | the end of three engine starts within a minute         | 30000  | 60000 | e1     | 2     | p           |

    Scenario: several requests that one crash ends count once, whatever their prompts
        When engines crash on prompts
            | at   | parts   | engine | start |
            | 0    | p x     | e1     | 1     |
            | 5    | p y     | e1     | 1     |
            | 10   | x       | e1     | 1     |
            | 900  | p x     | e2     | 1     |
            | 905  | p       | e2     | 1     |
        Then the quarantined parts at 1000 ms are ""

    Scenario: parts that engines answer are never quarantined, and the part that they share prompts with is
        When the parts "a b" are answered at 0 ms
        And engines crash on prompts
            | at   | parts | engine | start |
            | 500  | a p b | e1     | 1     |
            | 900  | a p b | e2     | 1     |
            | 1400 | a p b | e3     | 1     |
            | 1500 | a b   | e3     | 1     |
            | 1600 | a b   | e4     | 1     |
            | 1700 | a b   | e5     | 1     |
        Then the quarantined parts at 1700 ms are "p"

    # The fingerprint of a request counts as the last of its parts.
    Scenario: a request that comes again is quarantined, and the parts of its prompt are not
        When engines crash on prompts
            | at   | parts   | engine | start |
            | 0    | a p r1  | e1     | 1     |
            | 500  | a p r1  | e2     | 1     |
            | 505  | a x r2  | e2     | 1     |
            | 900  | a p r1  | e3     | 1     |
        Then the quarantined parts at 1000 ms are "r1"

    Scenario: a part on which further requests crash engines is quarantined in place of the request that came again
        When engines crash on prompts
            | at   | parts   | engine | start |
            | 0    | a p r1  | e1     | 1     |
            | 500  | a p r1  | e2     | 1     |
            | 900  | a p r1  | e3     | 1     |
            | 1500 | b p r2  | e4     | 1     |
        Then the quarantined parts at 1600 ms are "p"

    Scenario: an answer that is older than half a minute does not vouch
        When the parts "p" are answered at 0 ms
        And engines crash on prompts
            | at    | parts | engine | start |
            | 500   | p     | e1     | 1     |
            | 900   | p     | e2     | 1     |
            | 30000 | p     | e3     | 1     |
        Then the quarantined parts at 30000 ms are ""
        When engines crash on prompts
            | at    | parts | engine | start |
            | 30001 | p     | e4     | 1     |
        Then the quarantined parts at 30001 ms are "p"

    Scenario: parts that a quarantined part shares prompts or engines with are not quarantined beside it
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | a p x | e1     | 1     |
            | 500  | a p y | e2     | 1     |
            | 900  | p z   | e3     | 1     |
            | 905  | a     | e3     | 1     |
            | 910  | a p   | e4     | 1     |
            | 915  | a     | e4     | 1     |
        Then the quarantined parts at 1000 ms are "p"

    Scenario: nothing has been answered yet, and of the parts with most crashes the latest one is quarantined
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | a p x | e1     | 1     |
            | 500  | a p y | e2     | 1     |
            | 900  | a p z | e3     | 1     |
        Then the quarantined parts at 900 ms are "p"

    Scenario: nothing has been answered yet, and the wrong part is released once the right one has crashed without it
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | p a   | e1     | 1     |
            | 500  | p a   | e2     | 1     |
            | 900  | p a   | e3     | 1     |
        Then the quarantined parts at 900 ms are "a"
        When engines crash on prompts
            | at   | parts | engine | start |
            | 1200 | p b   | e4     | 1     |
        Then the quarantined parts at 1200 ms are "p"
        And the parts released by 1200 ms are "a: explained by another part"

    Scenario: two parts that crash engines independently are both quarantined
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | a p   | e1     | 1     |
            | 100  | a q   | e2     | 1     |
            | 200  | p     | e3     | 1     |
            | 300  | q     | e4     | 1     |
        And the parts "a" are answered at 350 ms
        And engines crash on prompts
            | at   | parts | engine | start |
            | 400  | a p   | e5     | 1     |
            | 500  | a q   | e6     | 1     |
        Then the quarantined parts at 500 ms are "p q"

    Scenario: a quarantine ends after ten minutes, and one further crash begins one of twenty minutes
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | a p   | e1     | 1     |
            | 500  | a p   | e2     | 1     |
            | 1000 | a p   | e3     | 1     |
        Then the quarantined parts at 600999 ms are "p"
        And the quarantined parts at 601000 ms are ""
        And the parts released by 601000 ms are "p: expired"
        When engines crash on prompts
            | at     | parts | engine | start |
            | 700000 | a p x | e1     | 2     |
        Then the quarantined parts at 700000 ms are "p"
        And a prompt with the parts "p" is refused at 700000 ms for 1200000 ms after 4 crashes

    Scenario: an answer after the last crash ends the quarantine, and one further crash then begins none
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | p     | e1     | 1     |
            | 500  | p     | e2     | 1     |
            | 1000 | p     | e3     | 1     |
        And the parts "p" are answered at 1200 ms
        Then the quarantined parts at 1200 ms are ""
        And the parts released by 1200 ms are "p: answered"
        When engines crash on prompts
            | at     | parts | engine | start |
            | 100000 | p     | e1     | 2     |
        Then the quarantined parts at 100000 ms are ""

    Scenario: an answer after the end of a quarantine clears the part
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | p     | e1     | 1     |
            | 500  | p     | e2     | 1     |
            | 1000 | p     | e3     | 1     |
        And the parts "p" are answered at 650000 ms
        And engines crash on prompts
            | at     | parts | engine | start |
            | 700000 | p     | e1     | 2     |
        Then the quarantined parts at 700000 ms are ""

    Scenario: crashes that several instances observe add up, each engine start once
        When a peer tells at 1000 ms of the crashes
            | age | part | engine | start |
            | 900 | p    | e1     | 1     |
            | 400 | p    | e2     | 1     |
        And engines crash on prompts
            | at   | parts | engine | start |
            | 1010 | p     | e2     | 1     |
        Then the quarantined parts at 1010 ms are ""
        When a peer tells at 1020 ms of the crashes
            | age | part | engine | start |
            | 5   | p    | e3     | 1     |
        Then the quarantined parts at 1020 ms are "p"

    Scenario: crashes that a peer tells of count from the time at which they happened
        When a peer tells at 1000 ms of the crashes
            | age   | part | engine | start |
            | 59500 | p    | e1     | 1     |
            | 0     | p    | e2     | 1     |
        And engines crash on prompts
            | at   | parts | engine | start |
            | 1600 | p     | e3     | 1     |
        Then the quarantined parts at 1600 ms are ""

    Scenario: an instance tells its peers only of its own crashes, and of answers only on parts under suspicion
        When the parts "a b c" are answered at 0 ms
        And engines crash on prompts
            | at   | parts | engine | start |
            | 100  | a p   | e1     | 1     |
        And a peer tells at 200 ms of the crashes
            | age | part | engine | start |
            | 10  | b    | e2     | 1     |
            | 10  | q    | e2     | 1     |
        Then at 300 ms it tells of crashes on "a p", of answers on "a b" and of quarantines of ""
        And at 30001 ms it tells of crashes on "a p", of answers on "" and of quarantines of ""

    Scenario: an answer of a peer prevents a quarantine, and one that is told late ends it
        When a peer tells at 0 ms of answers on "a"
        And engines crash on prompts
            | at   | parts | engine | start |
            | 100  | b a   | e1     | 1     |
            | 200  | b a   | e2     | 1     |
            | 300  | b a   | e3     | 1     |
        Then the quarantined parts at 300 ms are "b"
        When a peer tells at 900 ms of answers on "a b"
        Then the quarantined parts at 900 ms are ""

    Scenario: a quarantine that a peer holds is adopted, but not renewed after its end by peers that end it later
        When a peer tells at 1000 ms of a quarantine of "p" for 5000 ms after 3 crashes
        Then the quarantined parts at 5999 ms are "p"
        When a peer tells at 6001 ms of a quarantine of "p" for 20 ms after 3 crashes
        Then the quarantined parts at 6001 ms are ""
        When a peer tells at 6010 ms of a quarantine of "p" for 1200000 ms after 4 crashes
        Then the quarantined parts at 6010 ms are "p"
        And a prompt with the parts "p" is refused at 6010 ms for 1200000 ms after 4 crashes

    Scenario: a part that was answered is not quarantined again because a peer still holds it in quarantine
        When a peer tells at 1000 ms of a quarantine of "p" for 600000 ms after 3 crashes
        And the parts "p" are answered at 2000 ms
        And a peer tells at 2100 ms of a quarantine of "p" for 598900 ms after 3 crashes
        Then the quarantined parts at 2100 ms are ""
        And at 2100 ms it tells of crashes on "", of answers on "p" and of quarantines of ""
        When a peer tells at 40000 ms of a quarantine of "p" for 560000 ms after 3 crashes
        Then the quarantined parts at 40000 ms are ""

    # "soon": as soon as the rate limit allows; "later": once the time between two digests has passed.
    Scenario Outline: after <event>, a digest is due <due>
        Given an instance for which the part "a" was answered
        When <event>
        Then a digest is due "<due>"

        Examples:
            | event                                               | due   |
            | the instance observes a crash on the part "p"       | soon  |
            | a quarantined part is answered for the instance     | soon  |
            | the part "b" is answered for the instance           | never |
            | a peer observes a crash on the part "a"             | later |
            | a peer observes a crash on the part "b"             | never |
            | a peer quarantines the part "a"                     | later |
            | a peer observes a crash on the part "a" once more   | never |

    Scenario: a long incident with many parts is told in messages of bounded size, and answered parts are forgotten
        When 1000 engine starts end on prompts with 200 parts each, and 100000 parts are answered
        Then the message to peers has at most 65536 bytes
        And at most 20000 answered parts vouch

    Scenario: a part that was answered before it began to crash engines is quarantined after five independent crashes
        When the parts "a p" are answered at 0 ms
        And engines crash on prompts
            | at   | parts | engine | start |
            | 500  | a p   | e1     | 1     |
            | 900  | a p   | e2     | 1     |
            | 1300 | a p   | e3     | 1     |
            | 1700 | a p   | e4     | 1     |
        Then the quarantined parts at 1700 ms are ""
        When the parts "a" are answered at 1800 ms
        And engines crash on prompts
            | at   | parts | engine | start |
            | 2100 | a p   | e5     | 1     |
        Then the quarantined parts at 2100 ms are "p"

    Scenario: an answer to a request that was sent before the first crash shows nothing, and one after it ends the quarantine
        When engines crash on prompts
            | at   | parts | engine | start |
            | 500  | p     | e1     | 1     |
            | 900  | p     | e2     | 1     |
            | 1300 | p     | e3     | 1     |
        And the parts "p" are answered at 1400 ms to a request that was sent at 400 ms
        Then the quarantined parts at 1400 ms are "p"
        When the parts "p" are answered at 1500 ms to a request that was sent at 600 ms
        Then the quarantined parts at 1500 ms are ""

    Scenario: a part with which most requests go on at other engines is not quarantined for the crashes of some
        When 3 requests with the parts "a" are sent at 600 ms and run on
        And engines crash on prompts
            | at   | parts | engine | start |
            | 500  | a     | e1     | 1     |
            | 900  | a     | e2     | 1     |
            | 1700 | a     | e3     | 1     |
        Then the quarantined parts at 1700 ms are ""

    Scenario: a part with which requests of a peer go on at other engines is not quarantined
        When a peer tells at 400 ms of 3 requests with the part "a" that run on
        And engines crash on prompts
            | at   | parts | engine | start |
            | 500  | a     | e1     | 1     |
            | 900  | a     | e2     | 1     |
            | 1700 | a     | e3     | 1     |
        Then the quarantined parts at 1700 ms are ""

    Scenario: requests that were sent before the first crash, or just before the last, do not prevent a quarantine
        When 3 requests with the parts "p" are sent at 400 ms and run on
        And 3 requests with the parts "p" are sent at 1600 ms and run on
        And engines crash on prompts
            | at   | parts | engine | start |
            | 500  | p     | e1     | 1     |
            | 900  | p     | e2     | 1     |
            | 1700 | p     | e3     | 1     |
        Then the quarantined parts at 1700 ms are "p"

    Scenario: a quarantine of a peer is adopted although an older request was answered, and not if a newer one was
        When the parts "p q" are answered at 1000 ms
        And a peer tells at 3000 ms of a quarantine of "p" whose crashes began at 2000 ms
        And a peer tells at 3100 ms of a quarantine of "q" whose crashes began at 900 ms
        Then the quarantined parts at 3100 ms are "p"

    # Its start is not stated, or an instance has not learnt its new one yet.
    Scenario: crashes of an engine that is always listed with the same start count if requests were sent to it in between
        When engines crash on prompts
            | at   | parts | engine | start |
            | 0    | p     | e1     | 0     |
            | 10   | p     | e1     | 0     |
            | 20   | p     | e1     | 0     |
            | 2000 | p     | e1     | 0     |
        Then the quarantined parts at 2000 ms are ""
        When engines crash on prompts
            | at   | parts | engine | start |
            | 4000 | p     | e1     | 0     |
        Then the quarantined parts at 4000 ms are "p"

    # Each engine ends with many requests of one instance, whose parts exceed what a message holds.
    Scenario: a part under which several engines have ended is told to peers before parts under which one has
        When engines crash on prompts
            | at  | parts | engine | start |
            | 0   | p     | e1     | 1     |
            | 500 | p     | e2     | 1     |
        And an engine crashes at 600 ms while it runs 200 prompts with parts of their own
        Then at 700 ms it tells of crashes on "p" at 2 engines

    # Targets of one rack, say, end at the same moment.
    Scenario: engines that end together under a part of which nothing is known count as one crash
        When engines run prompts for 400 ms and crash
            | at   | parts | engine | start |
            | 500  | a     | e1     | 1     |
            | 510  | a     | e2     | 1     |
            | 520  | a     | e3     | 1     |
            | 520  | a     | e4     | 1     |
        Then the quarantined parts at 520 ms are ""

    # "told": instances send each other digests at the rate of the real ones, with a delay of up to 60 ms each.
    Scenario Outline: <instances> instances with <engines> engines stop sending a crashing part within <contact> seconds, <history>
        When <instances> instances with <engines> engines get requests with a crashing part, <history>
        Then at most 3 requests with the part reach engines later than <contact> seconds after the fifth crash
        And only that part is quarantined at the end, by all instances
        And later than 2 times <contact> seconds after the fifth crash 9 in 10 sound requests are served at the first attempt

        Examples:
            | instances | engines | contact | history                         |
            | 6         | 13      | 3       | after some sound ones    |
            | 73        | 40      | 3       | after some sound ones    |
            | 195       | 90      | 5       | after some sound ones    |
            | 6         | 13      | 3       | as soon as they have started    |
            | 73        | 40      | 3       | as soon as they have started    |

    Scenario Outline: crashes of 15 % of <engines> engines at once quarantine nothing
        When 15 % of <engines> engines crash at once, 3 times, while <instances> instances serve sound requests
        Then no instance has quarantined a part

        Examples:
            | instances | engines |
            | 6         | 13      |
            | 6         | 40      |
            | 73        | 40      |
