Feature: Shares and priorities in a queue

    Scenario: a client account with much work does not hold up another
        When account "large" queues 20 pieces of cost 1 and then account "small" queues 2
        Then both pieces of "small" are among the first 6 taken

    Scenario: a weight of three gives three times the share
        When account "heavy" with weight 3 and account "light" with weight 1 queue 40 pieces each
        Then of the first 24 taken between 15 and 21 belong to "heavy"

    Scenario: low priority is not starved
        When 1 piece of priority 9 is queued and then 40 pieces of priority 0
        Then the piece of priority 9 is among the first 9 taken

    Scenario: urgent work goes first
        When 3 pieces of priority 2 are queued and then 2 pieces of priority 0
        Then the first 2 taken have the priority 0
