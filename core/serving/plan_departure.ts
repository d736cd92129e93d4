/**
 * Plans how the running generations of engines that go away reach other engines.
 *
 * Load pattern: a sixth of the engines gets two seconds' notice at once, each with several long generations that belong to
 * different instances. All copies out of an engine share its link, and copies into one share that one's. If all instances
 * copy at once to the engine that looks free, nothing is through when the notice ends; and a last copy that queues behind
 * another's first copy stalls its caller. So every instance computes the same plan from the engines' own reports: first
 * copies one after the other, those with most work done first and only as many as fit, then all last copies, which are
 * small. What does not fit is tried after them, in case the notice is longer than promised.
 *
 * In a large fleet an instance has streams on few of the engines that go, and plans for these alone. Each destination
 * therefore belongs to one of them, so that the plans of different instances do not meet on its link.
 *
 * @module
 */
import { Rendezvous } from "../hashing/mod.ts";

/** A generation that an engine runs. */
export interface DepartingRun {
    /** Identity of its request. */
    requestId: string;
    /** Tokens of memory that it holds. */
    tokens: number;
    /** Events that it has made. */
    events: number;
}

/** An engine that goes away. */
export interface DepartingEngine {
    /** Identity of the engine. */
    id: string;
    /** Its availability zone. */
    zone: string;
    /** Its generations. */
    runs: DepartingRun[];
}

/** An engine that could go on with generations. */
export interface DestinationEngine {
    /** Identity of the engine. */
    id: string;
    /** Its availability zone. */
    zone: string;
    /** Tokens of memory that are not promised yet. */
    freeTokens: number;
}

/** What a departure is planned from. */
export interface DepartureQuestion {
    /** Engines that go away and whose generations are planned. */
    sources: readonly DepartingEngine[];
    /** All engines that go away at this time. Defaults to the sources. */
    leaving?: readonly Pick<DepartingEngine, "id" | "zone">[];
    /** Engines that stay. */
    destinations: readonly DestinationEngine[];
    /** Time to copy one token within a zone, in milliseconds. */
    millisecondsPerToken: number;
    /** Time until the sources are gone, in milliseconds. */
    noticeMilliseconds: number;
}

/** The steps of one generation's move; times are in milliseconds since the notice. */
export interface PlannedMove {
    /** Identity of the destination; `undefined` leaves the choice to the moment of the move. */
    destination: string | undefined;
    /** Time of the first copy. */
    startAt: number;
    /** Earliest time of the last copy. */
    finalAt: number;
}

/** Between zones a copy takes twice as long. */
const CROSS_ZONE_FACTOR = 2;
/** Time that each copy takes besides its bytes, in milliseconds: the call and its answer. */
const COPY_OVERHEAD = 6;
/** Factor by which a run has grown since the report and grows until its copy; reports are some hundred ms old. */
const REPORT_GROWTH = 1.1;
/** Time between two last copies from one engine, in milliseconds: the tokens of about a second, and the calls. */
const FINAL_SPACING = 14;
/** Time that a last copy gets between two first ones, in milliseconds. */
const LATE_SPACING = 40;
/** Time kept free after the last copies, in milliseconds, so that the resumed requests arrive before the notice ends. */
const FINAL_RESERVE = 60;
/** Weight of a copy's own length against the time at which it is through: short copies leave room for others. */
const LENGTH_WEIGHT = 0.6;
/** Tokens that a generation may still make at its destination. */
const GROWTH_TOKENS = 400;

interface Entry {
    run: DepartingRun;
    source: DepartingEngine;
}

/**
 * Plans the moves of all generations of the engines that go away.
 *
 * @param question Engines and times.
 * @returns The steps of each move, by request.
 */
export function planDeparture(question: DepartureQuestion): Map<string, PlannedMove> {
    const entries = question.sources.flatMap(source => source.runs.map(run => ({ run, source })));
    entries.sort((a, b) => b.run.events - a.run.events || compareText(a.run.requestId, b.run.requestId));
    const links = new LinkSchedule(question);
    const longest = Math.max(0, ...question.sources.map(source => source.runs.length));
    const latest = question.noticeMilliseconds - FINAL_RESERVE - longest * FINAL_SPACING;
    const inTime: { entry: Entry; move: ScheduledCopy; }[] = [];
    const late: Entry[] = [];
    for (const entry of entries) {
        const move = links.scheduleCopy(entry, latest);
        if (move === undefined) {
            late.push(entry);
        }
        else {
            inTime.push({ entry, move });
        }
    }
    const finalAt = Math.max(0, ...inTime.map(({ move }) => move.finishAt)) + FINAL_SPACING;
    const plan = new Map<string, PlannedMove>();
    const finals = new Map<string, number>();
    for (const { entry, move } of inTime) {
        const rank = finals.get(entry.source.id) ?? 0;
        finals.set(entry.source.id, rank + 1);
        const { destination, startAt } = move;
        plan.set(entry.run.requestId, { destination, startAt, finalAt: finalAt + rank * FINAL_SPACING });
    }
    for (const entry of late) {
        const lastCopies = (finals.get(entry.source.id) ?? 0) * FINAL_SPACING;
        links.holdLink(entry.source.id, finalAt + lastCopies);
        const move = links.scheduleCopy(entry, Infinity);
        const startAt = move?.startAt ?? finalAt + lastCopies;
        const endAt = move?.finishAt ?? startAt;
        plan.set(entry.run.requestId, { destination: move?.destination, startAt, finalAt: endAt });
        // The last copy goes before the next run's first one, or it would stall its caller for as long as that takes.
        links.holdLink(entry.source.id, endAt + LATE_SPACING);
    }
    return plan;
}

interface ScheduledCopy {
    destination: string;
    startAt: number;
    finishAt: number;
}

/** Keeps the times at which each engine's link is free, and the memory that is left. */
class LinkSchedule {
    readonly #question: DepartureQuestion;
    readonly #freeAt = new Map<string, number>();
    readonly #freeTokens: Map<string, number>;
    readonly #ownDestinations: Map<string, DestinationEngine[]>;

    constructor(question: DepartureQuestion) {
        this.#question = question;
        this.#ownDestinations = splitDestinations(question);
        this.#freeTokens = new Map(question.destinations.map(engine => [engine.id, engine.freeTokens]));
    }

    getFreeAt(engine: string): number {
        return this.#freeAt.get(engine) ?? 0;
    }

    /** Keeps an engine's link from first copies until a time. */
    holdLink(engine: string, until: number): void {
        this.#freeAt.set(engine, Math.max(this.getFreeAt(engine), until));
    }

    /** Schedules a copy to a destination of its engine, or to any where none of them has room; not past `latest`. */
    scheduleCopy(entry: Entry, latest: number): ScheduledCopy | undefined {
        const own = this.#ownDestinations.get(entry.source.id) ?? [];
        return this.#scheduleAmong(own, { ...entry, latest })
            ?? this.#scheduleAmong(this.#question.destinations, { ...entry, latest });
    }

    /** Schedules a copy to the destination that is best for it and for those after it. */
    #scheduleAmong(
        destinations: readonly DestinationEngine[],
        { run, source, latest }: Entry & { latest: number; },
    ): ScheduledCopy | undefined {
        let best: ScheduledCopy | undefined;
        let bestCost = Infinity;
        for (const engine of destinations) {
            const startAt = Math.max(this.getFreeAt(source.id), this.getFreeAt(engine.id));
            const length = this.#computeLength(run, engine.zone === source.zone);
            const cost = startAt + length * (1 + LENGTH_WEIGHT);
            const hasRoom = (this.#freeTokens.get(engine.id) ?? 0) >= run.tokens + GROWTH_TOKENS;
            if (hasRoom && startAt + length <= latest && cost < bestCost) {
                best = { destination: engine.id, startAt, finishAt: startAt + length };
                bestCost = cost;
            }
        }
        if (best !== undefined) {
            this.#freeAt.set(source.id, best.finishAt);
            this.#freeAt.set(best.destination, best.finishAt);
            const left = (this.#freeTokens.get(best.destination) ?? 0) - run.tokens - GROWTH_TOKENS;
            this.#freeTokens.set(best.destination, left);
        }
        return best;
    }

    #computeLength(run: DepartingRun, isInZone: boolean): number {
        const tokens = run.tokens * REPORT_GROWTH;
        return tokens * this.#question.millisecondsPerToken * (isInZone ? 1 : CROSS_ZONE_FACTOR) + COPY_OVERHEAD;
    }
}

/** Gives each destination to one of the engines that go, if possible to one of its own zone. */
function splitDestinations(question: DepartureQuestion): Map<string, DestinationEngine[]> {
    const { sources, leaving = sources, destinations } = question;
    const owned = new Map<string, DestinationEngine[]>();
    const ownersByZone = new Map<string, Rendezvous>();
    for (const engine of destinations) {
        const near = leaving.filter(({ zone }) => zone === engine.zone);
        const owners = ownersByZone.get(engine.zone)
            ?? new Rendezvous((near.length > 0 ? near : leaving).map(({ id }) => id));
        ownersByZone.set(engine.zone, owners);
        const owner = owners.chooseOwner(engine.id) ?? "";
        owned.set(owner, [...owned.get(owner) ?? [], engine]);
    }
    return owned;
}

function compareText(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
