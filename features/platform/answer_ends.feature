@platform @own-answer @answer-ends
Feature: A caller gets a complete response only if it has got all events that its target has made

    The caller reads to the end and compares the bytes with the list of events. A stream has 12 events. The framing shows
    the end of a response: by its length, by its last chunk, or only by the close of its connection (none). Targets are
    processes of their own, and end a stream in these ways:

    - orderly: the response ends in order, and the target runs on
    - reset: the connection is reset, and the target runs on
    - killed: the process is killed
    - stopped: the process is stopped with open connections
    - replaced: the process has ended, and another target listens at its address
    - restarted: the process has ended, and runs again at its address under its identifier
    - silent: the connection is closed in order, and the process is stopped right after that

    Scenario Outline: a narrative whose target ends its <framing>-framed stream <end> after <events> events gives <what>
        When callers read narratives to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got <what>

        Examples:
            | framing | end       | events | what                                     |
            | length  | orderly   | 12     | all events as a complete response        |
            | chunks  | orderly   | 12     | all events as a complete response        |
            | none    | orderly   | 12     | all events as a complete response        |
            | length  | reset     | 3      | fewer events, not as a complete response |
            | length  | killed    | 3      | fewer events, not as a complete response |
            | length  | stopped   | 3      | fewer events, not as a complete response |
            | length  | replaced  | 3      | fewer events, not as a complete response |
            | length  | restarted | 3      | fewer events, not as a complete response |
            | length  | silent    | 3      | fewer events, not as a complete response |
            | chunks  | reset     | 3      | fewer events, not as a complete response |
            | chunks  | killed    | 3      | fewer events, not as a complete response |
            | chunks  | stopped   | 3      | fewer events, not as a complete response |
            | chunks  | replaced  | 3      | fewer events, not as a complete response |
            | chunks  | restarted | 3      | fewer events, not as a complete response |
            | chunks  | silent    | 3      | fewer events, not as a complete response |
            | none    | reset     | 3      | fewer events, not as a complete response |
            | none    | killed    | 3      | fewer events, not as a complete response |
            | none    | stopped   | 3      | fewer events, not as a complete response |
            | none    | replaced  | 3      | fewer events, not as a complete response |
            | none    | restarted | 3      | fewer events, not as a complete response |
            | none    | silent    | 3      | fewer events, not as a complete response |
            | length  | orderly   | 0      | fewer events, not as a complete response |
            | chunks  | orderly   | 0      | fewer events, not as a complete response |
            | none    | orderly   | 0      | fewer events, not as a complete response |
            | none    | reset     | 0      | fewer events, not as a complete response |
            | none    | killed    | 0      | fewer events, not as a complete response |
            | none    | stopped   | 0      | fewer events, not as a complete response |
            | none    | replaced  | 0      | fewer events, not as a complete response |
            | none    | restarted | 0      | fewer events, not as a complete response |
            | none    | silent    | 0      | fewer events, not as a complete response |

    Scenario Outline: a verdict whose target ends its <framing>-framed stream <end> after <events> events is whole from two targets
        When callers read verdicts that go on at another target to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got all events as a complete response

        Examples:
            | framing | end       | events |
            | length  | reset     | 3      |
            | length  | killed    | 3      |
            | length  | stopped   | 3      |
            | length  | replaced  | 3      |
            | length  | restarted | 3      |
            | length  | silent    | 3      |
            | chunks  | reset     | 3      |
            | chunks  | killed    | 3      |
            | chunks  | stopped   | 3      |
            | chunks  | replaced  | 3      |
            | chunks  | restarted | 3      |
            | chunks  | silent    | 3      |
            | none    | reset     | 3      |
            | none    | killed    | 3      |
            | none    | stopped   | 3      |
            | none    | replaced  | 3      |
            | none    | restarted | 3      |
            | none    | silent    | 3      |
            | chunks  | orderly   | 0      |
            | length  | orderly   | 0      |
            | none    | orderly   | 0      |
            | none    | reset     | 0      |
            | none    | killed    | 0      |
            | none    | stopped   | 0      |
            | none    | replaced  | 0      |
            | none    | restarted | 0      |
            | none    | silent    | 0      |

    Scenario Outline: a verdict whose second target ends its <framing>-framed stream <end> after <events> events gives <what>
        When callers read verdicts that have broken off once to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got <what>
        And the caller gets the rest when it resumes the stream

        Examples:
            | framing | end       | events | what                                     |
            | length  | orderly   | 12     | all events as a complete response        |
            | chunks  | orderly   | 12     | all events as a complete response        |
            | none    | orderly   | 12     | all events as a complete response        |
            | length  | reset     | 3      | fewer events, not as a complete response |
            | length  | killed    | 3      | fewer events, not as a complete response |
            | length  | stopped   | 3      | fewer events, not as a complete response |
            | length  | replaced  | 3      | fewer events, not as a complete response |
            | length  | restarted | 3      | fewer events, not as a complete response |
            | length  | silent    | 3      | fewer events, not as a complete response |
            | chunks  | reset     | 3      | fewer events, not as a complete response |
            | chunks  | killed    | 3      | fewer events, not as a complete response |
            | chunks  | stopped   | 3      | fewer events, not as a complete response |
            | chunks  | replaced  | 3      | fewer events, not as a complete response |
            | chunks  | restarted | 3      | fewer events, not as a complete response |
            | chunks  | silent    | 3      | fewer events, not as a complete response |
            | none    | reset     | 3      | fewer events, not as a complete response |
            | none    | killed    | 3      | fewer events, not as a complete response |
            | none    | stopped   | 3      | fewer events, not as a complete response |
            | none    | replaced  | 3      | fewer events, not as a complete response |
            | none    | restarted | 3      | fewer events, not as a complete response |
            | none    | silent    | 3      | fewer events, not as a complete response |

    Scenario Outline: a verdict that its caller resumes at a target that ends its <framing>-framed stream <end> after <events> events is whole
        When callers resume verdicts to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got all events as a complete response

        Examples:
            | framing | end       | events |
            | length  | reset     | 3      |
            | length  | killed    | 3      |
            | length  | stopped   | 3      |
            | length  | replaced  | 3      |
            | length  | restarted | 3      |
            | length  | silent    | 3      |
            | chunks  | reset     | 3      |
            | chunks  | killed    | 3      |
            | chunks  | stopped   | 3      |
            | chunks  | replaced  | 3      |
            | chunks  | restarted | 3      |
            | chunks  | silent    | 3      |
            | none    | reset     | 3      |
            | none    | killed    | 3      |
            | none    | stopped   | 3      |
            | none    | replaced  | 3      |
            | none    | restarted | 3      |
            | none    | silent    | 3      |
            | none    | reset     | 0      |
            | none    | killed    | 0      |
            | none    | stopped   | 0      |
            | none    | replaced  | 0      |
            | none    | restarted | 0      |
            | none    | silent    | 0      |

    Scenario Outline: a narrative that is moved to a target that ends its <framing>-framed stream <end> after <events> events gives <what>
        When callers read narratives that are moved to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got <what>

        Examples:
            | framing | end       | events | what                                     |
            | length  | orderly   | 12     | all events as a complete response        |
            | chunks  | orderly   | 12     | all events as a complete response        |
            | none    | orderly   | 12     | all events as a complete response        |
            | length  | reset     | 3      | fewer events, not as a complete response |
            | length  | killed    | 3      | fewer events, not as a complete response |
            | length  | stopped   | 3      | fewer events, not as a complete response |
            | length  | replaced  | 3      | fewer events, not as a complete response |
            | length  | restarted | 3      | fewer events, not as a complete response |
            | length  | silent    | 3      | fewer events, not as a complete response |
            | chunks  | reset     | 3      | fewer events, not as a complete response |
            | chunks  | killed    | 3      | fewer events, not as a complete response |
            | chunks  | stopped   | 3      | fewer events, not as a complete response |
            | chunks  | replaced  | 3      | fewer events, not as a complete response |
            | chunks  | restarted | 3      | fewer events, not as a complete response |
            | chunks  | silent    | 3      | fewer events, not as a complete response |
            | none    | reset     | 3      | fewer events, not as a complete response |
            | none    | killed    | 3      | fewer events, not as a complete response |
            | none    | stopped   | 3      | fewer events, not as a complete response |
            | none    | replaced  | 3      | fewer events, not as a complete response |
            | none    | restarted | 3      | fewer events, not as a complete response |
            | none    | silent    | 3      | fewer events, not as a complete response |

    Scenario Outline: a narrative through another instance whose target ends its <framing>-framed stream <end> after <events> events gives <what>
        When callers read narratives through another instance to the end
        Then the caller whose target ends its <framing>-framed stream <end> after <events> events has got <what>

        Examples:
            | framing | end       | events | what                                     |
            | length  | orderly   | 12     | all events as a complete response        |
            | chunks  | orderly   | 12     | all events as a complete response        |
            | none    | orderly   | 12     | all events as a complete response        |
            | length  | reset     | 3      | fewer events, not as a complete response |
            | length  | killed    | 3      | fewer events, not as a complete response |
            | length  | stopped   | 3      | fewer events, not as a complete response |
            | length  | replaced  | 3      | fewer events, not as a complete response |
            | length  | restarted | 3      | fewer events, not as a complete response |
            | length  | silent    | 3      | fewer events, not as a complete response |
            | chunks  | reset     | 3      | fewer events, not as a complete response |
            | chunks  | killed    | 3      | fewer events, not as a complete response |
            | chunks  | stopped   | 3      | fewer events, not as a complete response |
            | chunks  | replaced  | 3      | fewer events, not as a complete response |
            | chunks  | restarted | 3      | fewer events, not as a complete response |
            | chunks  | silent    | 3      | fewer events, not as a complete response |
            | none    | reset     | 3      | fewer events, not as a complete response |
            | none    | killed    | 3      | fewer events, not as a complete response |
            | none    | stopped   | 3      | fewer events, not as a complete response |
            | none    | replaced  | 3      | fewer events, not as a complete response |
            | none    | restarted | 3      | fewer events, not as a complete response |
            | none    | silent    | 3      | fewer events, not as a complete response |

    Scenario Outline: a verdict that breaks off and whose second target sends <answer> contains none of it
        When callers read verdicts that have broken off to the end
        Then the caller whose target sends <answer> has got fewer events, not as a complete response
        And the caller gets the rest when it resumes the stream

        Examples:
            | answer                                        |
            | a failure                                     |
            | a failure that looks like a promise           |
            | a refusal                                     |
            | an error that the request has no such path    |
            | an answer that is no stream                   |
            | an answer that reads like an event            |
            | an empty answer with a length                 |
            | an empty answer in chunks                     |
            | an error between two chunks                   |
            | an error between two events without a length  |
            | a stream with an error in a chunk             |
            | a stream with the text of an error in a chunk |

    Scenario Outline: a verdict whose events wait for a slow store while its target breaks off, and whose second target sends <answer>, contains none of it
        When callers read verdicts that wait for a slow store to the end
        Then the caller whose target sends <answer> has got fewer events, not as a complete response

        Examples:
            | answer                                        |
            | a failure                                     |
            | a failure that looks like a promise           |
            | a refusal                                     |
            | an error that the request has no such path    |
            | an answer that is no stream                   |
            | an answer that reads like an event            |
            | an empty answer with a length                 |
            | an empty answer in chunks                     |
            | an error between two chunks                   |
            | an error between two events without a length  |
            | a stream with an error in a chunk             |
            | a stream with the text of an error in a chunk |

    Scenario Outline: a verdict through another instance whose second target sends <answer> contains none of it
        When callers read verdicts through another instance to the end
        Then the caller whose target sends <answer> has got fewer events, not as a complete response

        Examples:
            | answer                                        |
            | a failure                                     |
            | a failure that looks like a promise           |
            | a refusal                                     |
            | an error that the request has no such path    |
            | an answer that is no stream                   |
            | an answer that reads like an event            |
            | an empty answer with a length                 |
            | an empty answer in chunks                     |
            | an error between two chunks                   |
            | an error between two events without a length  |
            | a stream with an error in a chunk             |
            | a stream with the text of an error in a chunk |

    Scenario Outline: a narrative that is moved to a target that sends <answer> contains none of it
        When callers read narratives that are moved to them to the end
        Then the caller whose target sends <answer> has got fewer events, not as a complete response

        Examples:
            | answer                                        |
            | a failure                                     |
            | a failure that looks like a promise           |
            | an error that the request has no such path    |
            | an answer that is no stream                   |
            | an answer that reads like an event            |
            | an empty answer with a length                 |
            | an error between two chunks                   |
            | an error between two events without a length  |
            | a stream with an error in a chunk             |
            | a stream with the text of an error in a chunk |

    Scenario Outline: a narrative whose target sends <answer> contains none of it
        When callers read narratives that do not begin to the end
        Then the caller whose target sends <answer> has got fewer events, not as a complete response

        Examples:
            | answer                                        |
            | a failure                                     |
            | an empty answer with a length                 |
            | an empty answer in chunks                     |
            | an error between two chunks                   |
            | an error between two events without a length  |
            | a stream with an error in a chunk             |
            | a stream with the text of an error in a chunk |

    Scenario: a narrative whose target answers with no stream gets the answer
        When callers read narratives that do not begin to the end
        Then the caller whose target sends an answer that is no stream has got the answer "the whole answer"
