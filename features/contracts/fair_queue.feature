Feature: Weights and priorities in the fair queue
    Each client account has a weight. Priority 0 is the most urgent.

    Scenario: an account with many queued items does not delay another account
        When account "large" queues 20 items of cost 1 and then account "small" queues 2
        Then both items of "small" are among the first 6 dequeued

    Scenario: a weight of three gives three times the share
        When account "heavy" with weight 3 and account "light" with weight 1 queue 40 items each
        Then of the first 24 dequeued items between 15 and 21 belong to "heavy"

    Scenario: low priority is not starved
        When 1 item of priority 9 is queued and then 40 items of priority 0
        Then the item of priority 9 is among the first 9 dequeued

    Scenario: items of higher priority are dequeued first
        When 3 items of priority 2 are queued and then 2 items of priority 0
        Then the first 2 dequeued items have the priority 0
