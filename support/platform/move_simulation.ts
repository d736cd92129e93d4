/**
 * Simulates the moves of running generations from leaving engines, with links that carry one KV cache copy at a time.
 *
 * @module
 */
import type { DestinationEngine, LeavingEngine, PlannedMove, RunningGeneration } from "../../core/serving/mod.ts";
import { createRandom } from "../fixtures/random.ts";

/** Result of moving one generation. */
export interface MoveOutcome {
    /** True if the generation continues at its destination before its source engine has shut down. */
    isMovedInTime: boolean;
    /** Pause in the stream to the caller, in milliseconds. */
    pauseMilliseconds: number;
}

/** Input of {@linkcode simulateMoves}. */
export interface MoveSimulationInput {
    /** Leaving engines, whose generations are moved. */
    sources: readonly LeavingEngine[];
    /** Engines that stay and to which the generations are moved. */
    destinations: readonly DestinationEngine[];
    /**
     * Planned steps by request; `undefined` to start all first copies at once, and each final copy as soon as the first
     * copy of the same generation has finished.
     */
    plan: ReadonlyMap<string, PlannedMove> | undefined;
    /** Time until the sources shut down, in milliseconds. */
    noticeMilliseconds: number;
}

/** Creates leaving engines with running generations, and 7 or `destinationCount` engines that stay. */
export function createMoveEngines(
    seed: number,
    size: { engines: number; generations: number; destinationCount?: number; },
): { sources: LeavingEngine[]; destinations: DestinationEngine[]; } {
    const random = createRandom(seed);
    const sources = Array.from({ length: size.engines }, (_, index) => ({
        id: `source-${index}`,
        zone: ZONES[index % ZONES.length] ?? "",
        generations: Array.from({ length: size.generations }, (_unused, generationIndex) => ({
            requestId: `run-${index}-${generationIndex}`,
            tokens: 2500 + Math.floor(random() * 2500),
            events: Math.floor(random() * 400),
        })),
    }));
    const destinations = Array.from({ length: size.destinationCount ?? 7 }, (_, index) => ({
        id: `stays-${index}`,
        zone: ZONES[index % ZONES.length] ?? "",
        freeTokens: 12_000 + random() * 6000,
    }));
    return { sources, destinations };
}

/** A copy that waits for the links of its source and its destination. */
interface QueuedCopy {
    generation: RunningGeneration;
    source: LeavingEngine;
    destination: DestinationEngine;
    /** True for the final copy, for which the generation is stopped. */
    isFinal: boolean;
    /** Time at which the copy is requested, in milliseconds since the notice. */
    requestedAt: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
/** Time to copy the KV cache of one token within a zone. */
const MILLISECONDS_PER_TOKEN = 0.055;
/** Tokens that a running generation produces in a millisecond. */
const TOKENS_PER_MILLISECOND = 0.11;
/** Time from the end of the final copy to the first event from the destination. */
const RESUME_TIME_MILLISECONDS = 25;

/** Simulates the moves. Each engine's link carries its copies in the order in which they were requested. */
export function simulateMoves(input: MoveSimulationInput): MoveOutcome[] {
    const queue: QueuedCopy[] = input.sources.flatMap((source, sourceIndex) =>
        source.generations.map((generation, index) => ({
            generation,
            source,
            destination: chooseDestination(input, { generation, fallbackIndex: sourceIndex + index }),
            isFinal: false,
            requestedAt: input.plan?.get(generation.requestId)?.startAt ?? 0,
        }))
    );
    const linkFreeAt = new Map<string, number>();
    const outcomes: MoveOutcome[] = [];
    while (queue.length > 0) {
        queue.sort((a, b) => a.requestedAt - b.requestedAt);
        const copy = queue.shift();
        if (copy === undefined) {
            break;
        }
        const startAt = Math.max(
            copy.requestedAt,
            linkFreeAt.get(copy.source.id) ?? 0,
            linkFreeAt.get(copy.destination.id) ?? 0,
        );
        const endAt = startAt + computeDuration(copy);
        linkFreeAt.set(copy.source.id, endAt);
        linkFreeAt.set(copy.destination.id, endAt);
        if (copy.isFinal) {
            const pause = endAt - copy.requestedAt + RESUME_TIME_MILLISECONDS;
            outcomes.push({
                isMovedInTime: endAt + RESUME_TIME_MILLISECONDS <= input.noticeMilliseconds,
                pauseMilliseconds: pause,
            });
        }
        else {
            const finalAt = input.plan?.get(copy.generation.requestId)?.finalAt ?? 0;
            queue.push({ ...copy, isFinal: true, requestedAt: Math.max(endAt, finalAt) });
        }
    }
    return outcomes;
}

/** Chooses the planned destination, or else one of the destinations in turn. */
function chooseDestination(
    { plan, destinations }: MoveSimulationInput,
    choice: { generation: RunningGeneration; fallbackIndex: number; },
): DestinationEngine {
    const planned = plan?.get(choice.generation.requestId)?.destination;
    const found = destinations.find(engine => engine.id === planned);
    const fallback = destinations[choice.fallbackIndex % destinations.length];
    if (fallback === undefined) {
        throw new Error("Cannot simulate moves: no destination engine is given.");
    }
    return found ?? fallback;
}

/**
 * Computes the duration of a copy in milliseconds.
 *
 * A final copy contains the tokens that are generated in one second. A copy to another zone takes twice as long.
 */
function computeDuration(copy: QueuedCopy): number {
    const factor = copy.source.zone === copy.destination.zone ? 1 : 2;
    const tokens = copy.isFinal ? TOKENS_PER_MILLISECOND * 1000 : copy.generation.tokens;
    return tokens * MILLISECONDS_PER_TOKEN * factor;
}
