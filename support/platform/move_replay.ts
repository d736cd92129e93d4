/**
 * Replays the moves of engines that leave on links that carry one copy at a time.
 *
 * @module
 */
import type { DestinationEngine, EngineRun, LeavingEngine, PlannedMove } from "../../core/serving/mod.ts";
import { createRandom } from "../fixtures/random.ts";

/** How the move of one run ended. */
export interface MoveOutcome {
    /** True where the run goes on elsewhere before its engine is gone. */
    isSaved: boolean;
    /** Pause in the caller's stream, in milliseconds. */
    pause: number;
}

/** What is replayed. */
export interface MoveReplay {
    /** Engines that leave. */
    sources: readonly LeavingEngine[];
    /** Engines that stay. */
    destinations: readonly DestinationEngine[];
    /** Planned steps; `undefined` copies all runs at once, with the last copy as soon as the first is through. */
    plan: ReadonlyMap<string, PlannedMove> | undefined;
    /** Time until the sources are gone, in milliseconds. */
    notice: number;
}

/** Creates engines that leave, with their runs, and others with some free memory; seven where no number is given. */
export function createDeparture(
    seed: number,
    size: { engines: number; runs: number; others?: number; },
): { sources: LeavingEngine[]; destinations: DestinationEngine[]; } {
    const random = createRandom(seed);
    const sources = Array.from({ length: size.engines }, (_, index) => ({
        id: `source-${index}`,
        zone: ZONES[index % ZONES.length] ?? "",
        runs: Array.from({ length: size.runs }, (_run, run) => ({
            requestId: `run-${index}-${run}`,
            tokens: 2500 + Math.floor(random() * 2500),
            events: Math.floor(random() * 400),
        })),
    }));
    const destinations = Array.from({ length: size.others ?? 7 }, (_, index) => ({
        id: `stays-${index}`,
        zone: ZONES[index % ZONES.length] ?? "",
        freeTokens: 12_000 + random() * 6000,
    }));
    return { sources, destinations };
}

interface Copy {
    run: EngineRun;
    source: LeavingEngine;
    destination: DestinationEngine;
    isFinal: boolean;
    /** Time at which it is asked for. */
    askedAt: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
const MILLISECONDS_PER_TOKEN = 0.055;
/** Tokens that a run makes in a millisecond. */
const TOKENS_PER_MILLISECOND = 0.11;
/** Time from the last copy's end to the first event at the destination, in milliseconds. */
const GO_ON_TIME = 25;

/** Replays the moves; each link serves its copies in the order in which they were asked for. */
export function replayMoves(replay: MoveReplay): MoveOutcome[] {
    const queue: Copy[] = replay.sources.flatMap((source, sourceIndex) =>
        source.runs.map((run, index) => ({
            run,
            source,
            destination: chooseDestination(replay, { run, spread: sourceIndex + index }),
            isFinal: false,
            askedAt: replay.plan?.get(run.requestId)?.startAt ?? 0,
        }))
    );
    const freeAt = new Map<string, number>();
    const outcomes: MoveOutcome[] = [];
    while (queue.length > 0) {
        queue.sort((a, b) => a.askedAt - b.askedAt);
        const copy = queue.shift();
        if (copy === undefined) {
            break;
        }
        const startAt = Math.max(copy.askedAt, freeAt.get(copy.source.id) ?? 0, freeAt.get(copy.destination.id) ?? 0);
        const endAt = startAt + computeLength(copy);
        freeAt.set(copy.source.id, endAt);
        freeAt.set(copy.destination.id, endAt);
        if (copy.isFinal) {
            const pause = endAt - copy.askedAt + GO_ON_TIME;
            outcomes.push({ isSaved: endAt + GO_ON_TIME <= replay.notice, pause });
        }
        else {
            const finalAt = replay.plan?.get(copy.run.requestId)?.finalAt ?? 0;
            queue.push({ ...copy, isFinal: true, askedAt: Math.max(endAt, finalAt) });
        }
    }
    return outcomes;
}

function chooseDestination(
    { plan, destinations }: MoveReplay,
    choice: { run: EngineRun; spread: number; },
): DestinationEngine {
    const planned = plan?.get(choice.run.requestId)?.destination;
    const found = destinations.find(engine => engine.id === planned);
    const fallback = destinations[choice.spread % destinations.length];
    if (fallback === undefined) {
        throw new Error("Cannot replay moves without a destination.");
    }
    return found ?? fallback;
}

function computeLength(copy: Copy): number {
    const factor = copy.source.zone === copy.destination.zone ? 1 : 2;
    const tokens = copy.isFinal ? TOKENS_PER_MILLISECOND * 1000 : copy.run.tokens;
    return tokens * MILLISECONDS_PER_TOKEN * factor;
}
