@platform @upgrade
Feature: Builds of the system that run side by side understand each other

    During an upgrade, instances of the build in production and of the new one exchange messages, read each other's
    objects in the store, and hand requests over to each other.

    Scenario: an instance serves with the state and the updates of a peer of the build in production
        Given a serving site without an instance
        And the site has 2 targets of "ledger" and 2 of "engines", and its store is down
        And an instance starts beside a peer of the build in production
        When the peer sends its state
        Then the instance serves a stamp, a lookup and a verdict
        When the peer sends a configuration, and an update that removes target 1 of "ledger"
        Then the instance has configuration version 9, the quarantines of the peer, and sends stamps only to target 2 of "ledger"

    Scenario: messages of this build have all fields of those of the build in production, with the same types
        Given a serving site without an instance
        And the site has 2 targets of "ledger" and 2 of "engines", and its store is up
        And an instance starts beside a peer of the build in production
        When the peer sends a digest and asks for the state
        And the operator writes another configuration and a target changes its entry
        Then the peer has received a message of each kind with all fields that it knows

    Scenario: a message of a later build is ignored if its kind is not known, and logged; later messages are read
        Given a serving site without an instance
        And the site has 1 target of "ledger" and 1 of "engines", and its store is up
        And an instance starts beside a peer of the build in production
        When the peer sends a message of the kind "forecast" and a digest with a field that is not known
        Then the instance has logged the kind "forecast", and has reached the peer

    Scenario: a digest and a state without the fields that were added later are read with defaults
        When a digest and a state of the first builds are parsed
        Then their missing fields have defaults

    Scenario: objects of the store of the build in production are read, also with fields that are not known
        Then this build writes the same objects as the build in production
        And it reads them, also with a field that is not known

    Scenario: a request that the build in production hands over is served and not handed over again
        Then this build hands a request over with the same headers as the build in production
        And it reads them as a request that is handed over

    Scenario: keys of the settings file that are not known are ignored
        Then a settings file with the key "release.wave" is read as one without it
