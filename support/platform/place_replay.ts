/**
 * Replays the placing of generations by many instances that tell each other of their work with a delay.
 *
 * @module
 */
import {
    chooseLeastLoadedTarget,
    DigestRateLimiter,
    DigestReason,
    type LoadReservation,
    LoadTracker,
    type ServingTarget,
} from "../../core/serving/mod.ts";
import { createRandom, pickLogNormal, type Random } from "../fixtures/random.ts";

/** When instances tell of their work. */
export interface ReplayedPace {
    /** Computes the time at which a change is told. */
    computeSendTime(reason: DigestReason, state: { now: number; peers: number; }): number;
    /** Notes that a digest goes out. */
    recordSend(state: { now: number; peers: number; }): void;
}

/** Sends a digest as soon as a fixed time has passed since the last, whatever has changed. */
export class FixedPace implements ReplayedPace {
    #lastSentAt = Number.NEGATIVE_INFINITY;

    computeSendTime(_reason: DigestReason, { now, peers }: { now: number; peers: number; }): number {
        return Math.max(now + 1, this.#lastSentAt + 50 + 7 * peers);
    }

    recordSend({ now }: { now: number; }): void {
        this.#lastSentAt = now;
    }
}

/** What is replayed. */
export interface PlaceReplayOptions {
    /** Instances that place work. Defaults to 73. */
    instances?: number;
    /** Engines that take it. Defaults to 40. */
    engines?: number;
    /** Generations a second, half of them long. Defaults to 47. */
    rate?: number;
    /** Length of the replay, in seconds. Defaults to 20. */
    seconds?: number;
    /** Seed of the load. Defaults to 1. */
    seed?: number;
    /** True where instances count outputs as they grow. Defaults to true. */
    isOutputCounted?: boolean;
    /** Creates the pace of an instance. Defaults to that of the program. */
    createPace?: () => ReplayedPace;
}

/** What callers got. */
export interface PlaceOutcome {
    /** Times to the first token, in milliseconds. */
    firstTokens: number[];
    /** Runs that gave up their memory and were read in again. */
    preemptions: number;
    /** Digests that were sent. */
    digests: number;
}

interface Run {
    promptTokens: number;
    outputTokens: number;
    arrivedAt: number;
    /** Prompt tokens that the engine has not read yet. */
    unread: number;
    /** Tokens that it has made. */
    made: number;
    hold: LoadReservation;
}

interface ReplayedInstance {
    ledger: LoadTracker;
    pace: ReplayedPace;
    due: number;
}

const ENGINE = {
    slots: 24,
    memoryTokens: 26_863,
    tokensPerEvent: 4,
    copyMillisecondsPerToken: 0.055,
    canMove: true,
};
/** Time of a step with nothing to do, in milliseconds, with its growth for each running request. */
const STEP = 7;
const STEP_PER_RUN = 0.12;
/** Prompt tokens that one step reads at most, and that are read in a millisecond. */
const CHUNK = 112;
const READ_PER_MILLISECOND = 14;
/** Spread of the logarithm of callers' estimates. */
const HINT_SPREAD = 1.2;
/** Time that a digest is under way, in milliseconds. */
const DIGEST_DELAY = 2;

/** An engine that reads prompts in chunks between the tokens of its running requests. */
class ReplayedEngine {
    readonly target: ServingTarget;
    readonly #waiting: Run[] = [];
    readonly #running: Run[] = [];
    readonly #outcome: PlaceOutcome;
    #stepEnd = 0;

    constructor(target: ServingTarget, outcome: PlaceOutcome) {
        this.target = target;
        this.#outcome = outcome;
    }

    addRun(run: Run): void {
        this.#waiting.push(run);
    }

    /** Ends the step that is over, and begins the next. */
    step(now: number): void {
        if (now < this.#stepEnd || this.#waiting.length + this.#running.length === 0) {
            return;
        }
        this.#makeTokens();
        const read = this.#readPrompts(now);
        this.#freeMemory();
        this.#stepEnd = now + STEP + STEP_PER_RUN * this.#running.length + read / READ_PER_MILLISECOND;
    }

    #makeTokens(): void {
        for (const run of [...this.#running]) {
            run.made += 1;
            run.hold.recordOutput(run.made);
            if (run.made >= run.outputTokens) {
                this.#running.splice(this.#running.indexOf(run), 1);
                run.hold.release();
            }
        }
    }

    #readPrompts(now: number): number {
        let left = CHUNK;
        for (let run = this.#waiting[0]; run !== undefined && left > 0; run = this.#waiting[0]) {
            const isNew = run.unread === run.promptTokens + run.made;
            if (isNew && this.#countMemory() + run.unread > ENGINE.memoryTokens) {
                break;
            }
            const read = Math.min(left, run.unread);
            run.unread -= read;
            left -= read;
            if (run.unread <= 0) {
                this.#waiting.shift();
                this.#running.push(run);
                if (run.made === 0) {
                    this.#outcome.firstTokens.push(now - run.arrivedAt);
                    run.hold.markResponseStarted();
                }
            }
        }
        return CHUNK - left;
    }

    /** Takes the newest run's memory while there is too little. */
    #freeMemory(): void {
        while (this.#countMemory() > ENGINE.memoryTokens) {
            const newest = this.#running.pop();
            if (newest === undefined) {
                return;
            }
            this.#outcome.preemptions += 1;
            newest.unread = newest.promptTokens + newest.made;
            this.#waiting.push(newest);
        }
    }

    #countMemory(): number {
        return this.#running.reduce((sum, run) => sum + run.promptTokens + run.made, 0);
    }
}

/** Replays a steady load of long prompts with long and short answers. */
export function replayPlaces(options: PlaceReplayOptions = {}): PlaceOutcome {
    const { instances: count = 73, engines: engineCount = 40, rate = 47, seconds = 20, seed = 1 } = options;
    const { isOutputCounted = true, createPace = () => new DigestRateLimiter() } = options;
    const random = createRandom(seed);
    const outcome: PlaceOutcome = { firstTokens: [], preemptions: 0, digests: 0 };
    const engines = Array.from(
        { length: engineCount },
        (_, index) => new ReplayedEngine(createTarget(index), outcome),
    );
    let now = 0;
    const instances = Array.from({ length: count }, (): ReplayedInstance => {
        const instance = { ledger: new LoadTracker(), pace: createPace(), due: Infinity };
        instance.ledger.onEngineLoadChange = reason => {
            const due = instance.pace.computeSendTime(reason, { now, peers: count - 1 });
            instance.due = Math.min(instance.due, due);
        };
        return instance;
    });
    const underWay: { arrivesAt: number; apply: () => void; }[] = [];
    for (; now < seconds * 1000; now += 1) {
        while (underWay[0] !== undefined && underWay[0].arrivesAt <= now) {
            underWay.shift()?.apply();
        }
        if (random() < rate / 1000) {
            startRun(instances[Math.floor(random() * count)], {
                engines,
                now,
                random,
                instances: count,
                isOutputCounted,
            });
        }
        engines.forEach(engine => engine.step(now));
        for (const [index, instance] of instances.entries()) {
            if (instance.due > now) {
                continue;
            }
            instance.due = Infinity;
            instance.pace.recordSend({ now, peers: count - 1 });
            outcome.digests += 1;
            const digest = { work: instance.ledger.getDigest(), receivedAt: now };
            const others = instances.filter(other => other !== instance);
            const apply = (): void => others.forEach(other => other.ledger.applyDigest(`${index}`, digest));
            underWay.push({ arrivesAt: now + DIGEST_DELAY, apply });
        }
    }
    return outcome;
}

function startRun(
    instance: ReplayedInstance | undefined,
    site: {
        engines: readonly ReplayedEngine[];
        now: number;
        random: Random;
        instances: number;
        isOutputCounted: boolean;
    },
): void {
    if (instance === undefined) {
        return;
    }
    const { engines, now, random, instances } = site;
    const item = pickItem(random);
    // Callers' estimates are right at the median and often far off.
    const expected = {
        ...item,
        outputTokens: item.outputTokens * pickLogNormal(random, { median: 1, spread: HINT_SPREAD }),
    };
    const candidates = engines.map(({ target }) => ({
        target,
        held: instance.ledger.computeTotalLoad(target.id, now),
        penalty: 0,
        isLimited: false,
    }));
    const place = chooseLeastLoadedTarget(candidates, {
        item: expected,
        engine: ENGINE,
        zone: "zone-a",
        instances,
        avoid: new Set(),
        random,
    });
    const engine = engines.find(({ target }) => place.kind === "placed" && place.target === target);
    if (engine === undefined) {
        return;
    }
    const hold = instance.ledger.addRequest(engine.target.id, expected);
    const recordOutput = site.isOutputCounted ? hold.recordOutput : () => undefined;
    engine.addRun({ ...item, arrivedAt: now, unread: item.promptTokens, made: 0, hold: { ...hold, recordOutput } });
}

/** Picks a long answer, or a verdict of a few tokens. */
function pickItem(random: Random): { promptTokens: number; outputTokens: number; } {
    const isLong = random() < 0.47;
    const promptTokens = Math.min(6000, pickLogNormal(random, { median: isLong ? 2800 : 1850, spread: 0.45 }));
    const outputTokens = isLong ? Math.min(1770, pickLogNormal(random, { median: 540, spread: 0.8 })) : 8;
    return { promptTokens: Math.round(promptTokens), outputTokens: Math.round(outputTokens) };
}

function createTarget(index: number): ServingTarget {
    return {
        id: `engine-${index}`,
        service: "engines",
        address: "127.0.0.1:1",
        zone: "zone-a",
        slots: ENGINE.slots,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 1,
    };
}
