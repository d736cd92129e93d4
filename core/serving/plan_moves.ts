/**
 * Plans the moves of running generations from leaving engines, which are about to shut down, to engines that stay.
 *
 * A move consists of a first copy of the KV cache while the generation continues, and a final copy of the tokens that
 * were generated in the meantime, for which the generation is stopped. The notice is the time from an engine's
 * announcement that it is leaving to its shutdown.
 *
 * Load pattern: a sixth of the engines receives two seconds' notice at the same time, and each runs several long
 * generations that belong to different instances. All copies out of an engine share its network link, and so do all
 * copies into an engine. If all instances copy at once to the engine that appears least loaded, no copy finishes before
 * the notice ends. A final copy that is queued behind the first copy of another generation stalls its caller. For this
 * reason every instance computes the same plan from the engines' own reports: first copies one after the other, those
 * of the generations with most events first and only as many as fit, then all final copies, which are small.
 * Generations that do not fit are moved after them, in case the notice is longer than announced.
 *
 * In a large fleet an instance has streams on few of the leaving engines and plans for these only. Each destination is
 * therefore assigned to one leaving engine, so that the plans of different instances do not compete for the same link.
 *
 * @module
 */
import { RendezvousHash } from "../hashing/mod.ts";

/** A generation that an engine is running. */
export interface RunningGeneration {
    /** Identifier of the request. */
    requestId: string;
    /** KV cache that the generation occupies, in tokens. */
    tokens: number;
    /** Events that have been generated. */
    events: number;
}

/** A leaving engine, which is about to shut down. */
export interface LeavingEngine {
    /** Identifier of the engine. */
    id: string;
    /** Availability zone of the engine. */
    zone: string;
    /** Generations that the engine is running. */
    generations: RunningGeneration[];
}

/** An engine to which generations can be moved. */
export interface DestinationEngine {
    /** Identifier of the engine. */
    id: string;
    /** Availability zone of the engine. */
    zone: string;
    /** Capacity of the KV cache that no request is expected to need, in tokens. */
    freeTokens: number;
}

/** Input of {@linkcode planMoves}. */
export interface MovePlanInput {
    /** Leaving engines whose generations are moved. */
    sources: readonly LeavingEngine[];
    /** All engines that leave at the same time, including those of other instances' plans. Defaults to the sources. */
    leaving?: readonly Pick<LeavingEngine, "id" | "zone">[];
    /** Engines that stay. */
    destinations: readonly DestinationEngine[];
    /** Time to copy the KV cache of one token within a zone, in milliseconds. */
    millisecondsPerToken: number;
    /** Time until the sources shut down, in milliseconds. */
    noticeMilliseconds: number;
}

/**
 * Planned steps of one generation's move; times are in milliseconds since the notice. The log records them with these
 * field names.
 */
export interface PlannedMove {
    /** Identifier of the destination; `undefined` if it is to be selected when the move starts. */
    destination: string | undefined;
    /** Start time of the first copy. */
    startAt: number;
    /** Earliest start time of the final copy. */
    finalAt: number;
}

/** A copy between zones takes twice as long. */
const CROSS_ZONE_FACTOR = 2;
/** Time that each copy takes in addition to the transfer, for the call and its response. */
const COPY_OVERHEAD_MILLISECONDS = 6;
/** Growth of a generation between the report, which is some hundred milliseconds old, and its copy. */
const REPORT_GROWTH_FACTOR = 1.1;
/**
 * Interval between two final copies from one engine: time to copy the tokens of about a second and to make the calls.
 */
const FINAL_COPY_SPACING_MILLISECONDS = 14;
/**
 * Time that is reserved for a final copy before the next first copy, for generations that do not fit into the notice.
 */
const OVERFLOW_COPY_SPACING_MILLISECONDS = 40;
/** Time that is reserved after the final copies, so that the resumed requests arrive before the notice ends. */
const FINAL_RESERVE_MILLISECONDS = 60;
/** Weight of a copy's duration relative to the time at which it finishes: short copies leave capacity for others. */
const DURATION_WEIGHT = 0.6;
/** KV cache reserved at the destination for the further output of a generation, in tokens. */
const GROWTH_TOKENS = 400;

/** A generation to move, with the leaving engine that runs it. */
interface GenerationToMove {
    generation: RunningGeneration;
    source: LeavingEngine;
}

/**
 * Plans the moves of all generations of the sources.
 *
 * @param input Engines and times.
 * @returns The steps of each move, by request.
 */
export function planMoves(input: MovePlanInput): Map<string, PlannedMove> {
    const generations = input.sources.flatMap(source => source.generations.map(generation => ({ generation, source })));
    generations.sort((a, b) =>
        b.generation.events - a.generation.events || compareText(a.generation.requestId, b.generation.requestId)
    );
    const schedule = new LinkSchedule(input);
    const maxGenerationsPerEngine = Math.max(0, ...input.sources.map(source => source.generations.length));
    const firstCopyDeadline = input.noticeMilliseconds - FINAL_RESERVE_MILLISECONDS
        - maxGenerationsPerEngine * FINAL_COPY_SPACING_MILLISECONDS;
    const scheduled: { entry: GenerationToMove; copy: ScheduledCopy; }[] = [];
    const overflow: GenerationToMove[] = [];
    for (const entry of generations) {
        const copy = schedule.scheduleCopy(entry, firstCopyDeadline);
        if (copy === undefined) {
            overflow.push(entry);
        }
        else {
            scheduled.push({ entry, copy });
        }
    }
    const finalAt = Math.max(0, ...scheduled.map(({ copy }) => copy.finishAt)) + FINAL_COPY_SPACING_MILLISECONDS;
    const plan = new Map<string, PlannedMove>();
    const finalCopyCounts = new Map<string, number>();
    for (const { entry, copy } of scheduled) {
        const rank = finalCopyCounts.get(entry.source.id) ?? 0;
        finalCopyCounts.set(entry.source.id, rank + 1);
        const { destination, startAt } = copy;
        plan.set(entry.generation.requestId, {
            destination,
            startAt,
            finalAt: finalAt + rank * FINAL_COPY_SPACING_MILLISECONDS,
        });
    }
    for (const entry of overflow) {
        const finalCopiesMilliseconds = (finalCopyCounts.get(entry.source.id) ?? 0) * FINAL_COPY_SPACING_MILLISECONDS;
        schedule.reserveLink(entry.source.id, finalAt + finalCopiesMilliseconds);
        const copy = schedule.scheduleCopy(entry, Infinity);
        const startAt = copy?.startAt ?? finalAt + finalCopiesMilliseconds;
        const finishAt = copy?.finishAt ?? startAt;
        plan.set(entry.generation.requestId, { destination: copy?.destination, startAt, finalAt: finishAt });
        // Otherwise the next generation's first copy could delay the final copy and stall this generation's caller.
        schedule.reserveLink(entry.source.id, finishAt + OVERFLOW_COPY_SPACING_MILLISECONDS);
    }
    return plan;
}

/** Destination and times of a first copy. */
interface ScheduledCopy {
    destination: string;
    startAt: number;
    finishAt: number;
}

/** Tracks when each engine's network link becomes free and how much KV cache each destination has left. */
class LinkSchedule {
    readonly #input: MovePlanInput;
    readonly #freeAt = new Map<string, number>();
    readonly #freeTokens: Map<string, number>;
    readonly #assignedDestinations: Map<string, DestinationEngine[]>;

    constructor(input: MovePlanInput) {
        this.#input = input;
        this.#assignedDestinations = assignDestinations(input);
        this.#freeTokens = new Map(input.destinations.map(engine => [engine.id, engine.freeTokens]));
    }

    /** Gets the planned time from which an engine's link is free, in milliseconds. */
    getFreeAt(engine: string): number {
        return this.#freeAt.get(engine) ?? 0;
    }

    /** Reserves an engine's link until the given time, so that no first copy is scheduled before it. */
    reserveLink(engine: string, until: number): void {
        this.#freeAt.set(engine, Math.max(this.getFreeAt(engine), until));
    }

    /**
     * Schedules a first copy to a destination that is assigned to the source, or to any destination if none of these
     * fits.
     *
     * @returns The copy; `undefined` if it cannot finish by `deadline` at any destination with enough free KV cache.
     */
    scheduleCopy(entry: GenerationToMove, deadline: number): ScheduledCopy | undefined {
        const assigned = this.#assignedDestinations.get(entry.source.id) ?? [];
        return this.#scheduleAmong(assigned, { ...entry, deadline })
            ?? this.#scheduleAmong(this.#input.destinations, { ...entry, deadline });
    }

    /**
     * Schedules a copy to the destination with the lowest cost, which is its finish time plus a weight for its
     * duration.
     */
    #scheduleAmong(
        destinations: readonly DestinationEngine[],
        { generation, source, deadline }: GenerationToMove & { deadline: number; },
    ): ScheduledCopy | undefined {
        let best: ScheduledCopy | undefined;
        let bestCost = Infinity;
        for (const engine of destinations) {
            const startAt = Math.max(this.getFreeAt(source.id), this.getFreeAt(engine.id));
            const duration = this.#computeDuration(generation, engine.zone === source.zone);
            const cost = startAt + duration * (1 + DURATION_WEIGHT);
            const hasRoom = (this.#freeTokens.get(engine.id) ?? 0) >= generation.tokens + GROWTH_TOKENS;
            if (hasRoom && startAt + duration <= deadline && cost < bestCost) {
                best = { destination: engine.id, startAt, finishAt: startAt + duration };
                bestCost = cost;
            }
        }
        if (best !== undefined) {
            this.#freeAt.set(source.id, best.finishAt);
            this.#freeAt.set(best.destination, best.finishAt);
            const remainingTokens = (this.#freeTokens.get(best.destination) ?? 0) - generation.tokens - GROWTH_TOKENS;
            this.#freeTokens.set(best.destination, remainingTokens);
        }
        return best;
    }

    #computeDuration(generation: RunningGeneration, isInZone: boolean): number {
        const tokens = generation.tokens * REPORT_GROWTH_FACTOR;
        return tokens * this.#input.millisecondsPerToken * (isInZone ? 1 : CROSS_ZONE_FACTOR)
            + COPY_OVERHEAD_MILLISECONDS;
    }
}

/** Assigns each destination to one of the leaving engines, in the same zone if there is one. */
function assignDestinations(input: MovePlanInput): Map<string, DestinationEngine[]> {
    const { sources, leaving = sources, destinations } = input;
    const assigned = new Map<string, DestinationEngine[]>();
    const rendezvousByZone = new Map<string, RendezvousHash>();
    for (const engine of destinations) {
        const inZone = leaving.filter(({ zone }) => zone === engine.zone);
        const rendezvous = rendezvousByZone.get(engine.zone)
            ?? new RendezvousHash((inZone.length > 0 ? inZone : leaving).map(({ id }) => id));
        rendezvousByZone.set(engine.zone, rendezvous);
        const source = rendezvous.chooseOwner(engine.id) ?? "";
        assigned.set(source, [...assigned.get(source) ?? [], engine]);
    }
    return assigned;
}

/** Compares texts by code units, so that every instance sorts the same way in any locale. */
function compareText(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
