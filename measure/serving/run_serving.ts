/**
 * Compares decisions of the serving process with simpler alternatives in simulations: target selection, with load
 * digests sent under the product's rate limit or at fixed intervals, moves of generations, planned or all started at
 * once, the election of watchers of the store, whose substitutes take over in turn or at once, targets that limit
 * their request rate, targets of different speed, compared by their load only or by their pace too, estimates of what
 * engines have cached, and requests beyond the capacity of all engines.
 *
 * Flags: `--seeds 1,2,3,4,5`, `--rates 47,70`, `--seconds 20`, `--runs 4,6,9`, `--notice 1700`.
 *
 * @module
 */
import { Command } from "commander";
import { planMoves, type PlannedMove } from "../../core/serving/mod.ts";
import { createMoveEngines, simulateMoves } from "../../support/platform/move_simulation.ts";
import { simulatePlainSelection } from "../../support/platform/plain_selection_simulation.ts";
import { simulatePrefixCache } from "../../support/platform/prefix_cache_simulation.ts";
import { type RateLimitSimulationOptions, simulateRateLimits } from "../../support/platform/rate_limit_simulation.ts";
import { FixedIntervalLimiter, simulateTargetSelection } from "../../support/platform/target_selection_simulation.ts";
import {
    simulateWaitingLines,
    type WaitingLineSimulationOptions,
} from "../../support/platform/waiting_line_simulation.ts";
import { simulateWatcherElection } from "../../support/platform/watcher_election_simulation.ts";
import { pickPercentile } from "../placement/pick_percentile.ts";

interface ServingOptions {
    seeds: number[];
    /** Generations per second. */
    rates: number[];
    /** Simulated duration, in seconds. */
    seconds: number;
    /** Numbers of generations on each leaving engine. */
    runs: number[];
    /** Time until a leaving engine shuts down, in milliseconds. */
    notice: number;
}

/** Objective for the time to the first token; a later first token counts as late. */
const FIRST_TOKEN_OBJECTIVE_MILLISECONDS = 1500;
/** Objective for the pause of a stream during a move. */
const PAUSE_OBJECTIVE_MILLISECONDS = 180;
/** Share of the real notice that a leaving engine announces; it shuts down a little later than announced. */
const ANNOUNCED_NOTICE_SHARE = 0.88;
/** Time to copy the KV cache of one token within a zone. */
const MILLISECONDS_PER_TOKEN = 0.055;

/** Options of the simulation with each rate limiter for load digests, by its name in the table. */
const RATE_LIMITERS = {
    "told at once": {},
    "fixed spaces": { createRateLimiter: () => new FixedIntervalLimiter() },
};

function parseNumbers(text: string): number[] {
    return text.split(",").map(Number);
}

function printRow(cells: readonly (string | number)[]): void {
    process.stdout.write(`${cells.map(cell => String(cell).padStart(15)).join("")}\n`);
}

function formatShare(share: number): string {
    return `${(100 * share).toFixed(1)} %`;
}

function computeShare(values: readonly boolean[]): string {
    return formatShare(values.filter(Boolean).length / Math.max(1, values.length));
}

/** Sums a number over the outcomes of several seeds. */
function computeSum<Outcome>(outcomes: readonly Outcome[], count: (outcome: Outcome) => number): number {
    return outcomes.reduce((total, outcome) => total + count(outcome), 0);
}

function printPlacements({ seeds, rates, seconds }: ServingOptions): void {
    printRow(["placements", "a second", "p50 ms", "p95 ms", "p99 ms", "late", "preempted", "digests"]);
    for (const rate of rates) {
        for (const [name, options] of Object.entries(RATE_LIMITERS)) {
            const outcomes = seeds.map(seed =>
                simulateTargetSelection({ seed, generationsPerSecond: rate, seconds, ...options })
            );
            const times = outcomes.flatMap(outcome => outcome.firstTokenMilliseconds).sort((a, b) => a - b);
            printRow([
                name,
                rate,
                ...[0.5, 0.95, 0.99].map(share => Math.round(pickPercentile(times, share))),
                computeShare(times.map(time => time > FIRST_TOKEN_OBJECTIVE_MILLISECONDS)),
                outcomes.reduce((sum, outcome) => sum + outcome.preemptions, 0),
                outcomes.reduce((sum, outcome) => sum + outcome.digests, 0),
            ]);
        }
    }
}

function printMoves({ seeds, runs, notice }: ServingOptions): void {
    printRow(["moves", "runs", "saved", "in time", "pause p95 ms"]);
    for (const count of runs) {
        for (const name of ["planned", "all at once"]) {
            const outcomes = seeds.flatMap(seed => {
                const engines = createMoveEngines(seed, { engines: 2, generations: count });
                const plan: ReadonlyMap<string, PlannedMove> | undefined = name === "planned"
                    ? planMoves({
                        ...engines,
                        millisecondsPerToken: MILLISECONDS_PER_TOKEN,
                        noticeMilliseconds: notice * ANNOUNCED_NOTICE_SHARE,
                    })
                    : undefined;
                return simulateMoves({ ...engines, plan, noticeMilliseconds: notice });
            });
            const movedInTime = outcomes.filter(outcome => outcome.isMovedInTime);
            const pauses = movedInTime.map(outcome => outcome.pauseMilliseconds).sort((a, b) => a - b);
            printRow([
                name,
                count,
                computeShare(outcomes.map(outcome => outcome.isMovedInTime)),
                computeShare(
                    outcomes.map(({ isMovedInTime, pauseMilliseconds }) =>
                        isMovedInTime && pauseMilliseconds <= PAUSE_OBJECTIVE_MILLISECONDS
                    ),
                ),
                Math.round(pickPercentile(pauses, 0.95)),
            ]);
        }
    }
}

/** Fleet sizes, and the situation in which watchers are elected. */
const ELECTION_SIZES = [6, 73, 195, 340];
const ELECTION_SITUATIONS = ["the store refuses the first two", "the store serves nobody"];
const ELECTION_SECONDS = 4;

function printElections(): void {
    printRow(["takeover", "instances", "called", "unwatched ms", "situation"]);
    for (const situation of ELECTION_SITUATIONS) {
        for (const instances of ELECTION_SIZES) {
            for (const [name, isStaggered] of [["in turn", true], ["at once", false]] as const) {
                const { callers, unwatchedMilliseconds } = simulateWatcherElection({
                    instances,
                    seconds: ELECTION_SECONDS,
                    situation,
                    isStaggered,
                });
                printRow([name, instances, callers, unwatchedMilliseconds, `  ${situation}`]);
            }
        }
    }
}

/** Fleets whose targets all limit their request rate, and the time after which the limits hold. */
const LIMITED_FLEETS: Pick<
    RateLimitSimulationOptions,
    "instances" | "requestsPerSecond" | "limits" | "contactMilliseconds"
>[] = [
    { instances: 6, requestsPerSecond: 28, limits: [2.6, 4.2, 6], contactMilliseconds: 3000 },
    { instances: 73, requestsPerSecond: 108, limits: [2.6, 4.2, 10, 10], contactMilliseconds: 4000 },
    { instances: 195, requestsPerSecond: 70, limits: [2.6, 5, 5, 5, 5], contactMilliseconds: 5000 },
    { instances: 340, requestsPerSecond: 300, limits: [2.6, 10, 20, 40], contactMilliseconds: 5000 },
];

/** Options of the simulation with each way to treat the limits, by its name in the table. */
const LIMIT_POLICIES = {
    "told, in turns": {},
    "not told": { isTold: false },
    "not kept": { isKept: false },
};

function printLimits({ seeds }: ServingOptions): void {
    printRow(["limits", "instances", "peak of allowed", "used of limit"]);
    for (const fleet of LIMITED_FLEETS) {
        for (const [name, policy] of Object.entries(LIMIT_POLICIES)) {
            const outcomes = seeds.flatMap(seed => simulateRateLimits({ ...fleet, ...policy, seed }));
            const mean = outcomes.reduce((sum, { usedShare }) => sum + usedShare, 0) / outcomes.length;
            printRow([
                name,
                fleet.instances ?? 0,
                Math.max(...outcomes.map(({ peakShare }) => peakShare)).toFixed(2),
                mean.toFixed(2),
            ]);
        }
    }
}

/** Fleets with engines of different speed, and the time that is simulated, in seconds. */
const PACED_FLEETS = [
    { instances: 6, engines: 6, seconds: 30 },
    { instances: 24, engines: 16, seconds: 30 },
    { instances: 84, engines: 57, seconds: 20 },
    { instances: 340, engines: 228, seconds: 9 },
];
/** Requests that arrive at each engine in a second, in a usual load and in a high one. */
const REQUESTS_PER_ENGINE = [1.15, 1.5];
/** Seeds of the largest fleet, whose simulation takes long. */
const LARGE_FLEET_SEEDS = 1;
const LARGE_FLEET_INSTANCES = 100;
/** Plain calls per second to 4 targets that process 490. */
const PLAIN_CALLS = [330, 420];
const PLAIN_SECONDS = 20;

function printPace({ seeds }: ServingOptions): void {
    printRow(["pace", "instances", "load", "gap > 180 ms", "late firsts", "late checks", "at slow", "refused"]);
    for (const fleet of PACED_FLEETS) {
        for (const load of REQUESTS_PER_ENGINE) {
            for (const [name, isPaced] of [["load only", false], ["by pace", true]] as const) {
                const outcomes = seeds.slice(0, fleet.instances > LARGE_FLEET_INSTANCES ? LARGE_FLEET_SEEDS : undefined)
                    .flatMap(seed =>
                        simulateTargetSelection({
                            ...fleet,
                            seed,
                            generationsPerSecond: load * fleet.engines,
                            uneven: { isPaced },
                        }).uneven ?? []
                    );
                const long = computeSum(outcomes, outcome => outcome.long.started);
                printRow([
                    name,
                    fleet.instances,
                    load,
                    formatShare(computeSum(outcomes, outcome => outcome.long.gaps) / long),
                    formatShare(computeSum(outcomes, outcome => outcome.long.lateFirsts) / long),
                    formatShare(
                        computeSum(outcomes, ({ checks }) => checks.lateFirsts)
                            / computeSum(outcomes, ({ checks }) => checks.started),
                    ),
                    formatShare(computeSum(outcomes, outcome => outcome.atSlowEngines) / long),
                    computeSum(outcomes, outcome => outcome.refused),
                ]);
            }
        }
    }
}

function printPlainCalls({ seeds }: ServingOptions): void {
    printRow(["plain calls", "instances", "a second", "late", "refusals", "largest share", "told a second"]);
    for (const { instances } of PACED_FLEETS) {
        for (const callsPerSecond of PLAIN_CALLS) {
            for (const [name, isPaced] of [["load only", false], ["by pace", true]] as const) {
                const outcomes = seeds.map(seed =>
                    simulatePlainSelection({ instances, callsPerSecond, isPaced, seed, seconds: PLAIN_SECONDS })
                );
                const calls = computeSum(outcomes, outcome => outcome.calls);
                printRow([
                    name,
                    instances,
                    callsPerSecond,
                    formatShare(computeSum(outcomes, outcome => outcome.calls - outcome.timely) / calls),
                    formatShare(computeSum(outcomes, outcome => outcome.refusals) / calls),
                    Math.max(...outcomes.map(outcome => outcome.largestShare)).toFixed(2),
                    Math.round(computeSum(outcomes, outcome => outcome.toldLoads) / seeds.length / PLAIN_SECONDS),
                ]);
            }
        }
    }
}

/** Loads on engines that keep parts of prompts cached. */
const PREFIX_LOADS = {
    "usual": {},
    "heavy": { generationsPerSecond: 110 },
    "popular, 350": { hotShare: 0.28 },
    "popular, 2000": { hotShare: 0.28, hotTokens: 2000 },
    "10 % return": { returnedShare: 0.1 },
    "to the same": { returnedShare: 0.1, returnsToSameInstance: true },
};
/** What instances know of the caches, by its name in the table. */
const CACHE_KNOWLEDGE = { "no estimate": "none", "own prompts": "own", "all prompts": "all" } as const;

function printPrefixCache({ seeds, seconds }: ServingOptions): void {
    printRow([
        "prefix cache",
        "load",
        "tokens read",
        "believed",
        "confirmed",
        "p50 ms",
        "p95 ms",
        "late",
        "refused",
        "max/mean",
    ]);
    for (const [load, options] of Object.entries(PREFIX_LOADS)) {
        for (const [name, knowledge] of Object.entries(CACHE_KNOWLEDGE)) {
            const outcomes = seeds.map(seed => simulatePrefixCache({ ...options, knowledge, seed, seconds }));
            const sum = (
                field: "promptTokens" | "readTokens" | "believedTokens" | "confirmedTokens" | "refused",
            ): number => outcomes.reduce((total, outcome) => total + outcome[field], 0);
            const times = outcomes.flatMap(outcome => outcome.firstTokenMilliseconds).sort((a, b) => a - b);
            const peaks = outcomes.map(({ requests }) =>
                Math.max(...requests) * requests.length / requests.reduce((total, count) => total + count, 0)
            );
            printRow([
                name,
                load,
                `${(100 * sum("readTokens") / sum("promptTokens")).toFixed(2)} %`,
                `${(100 * sum("believedTokens") / sum("promptTokens")).toFixed(2)} %`,
                `${(100 * sum("confirmedTokens") / Math.max(1, sum("believedTokens"))).toFixed(0)} %`,
                ...[0.5, 0.95].map(share => Math.round(pickPercentile(times, share))),
                computeShare(times.map(time => time > FIRST_TOKEN_OBJECTIVE_MILLISECONDS)),
                sum("refused"),
                Math.max(...peaks).toFixed(2),
            ]);
        }
    }
}

/** Loads beyond the capacity of all engines, by their name in the table. */
const OVERLOADS: Record<string, WaitingLineSimulationOptions> = {
    "6 at x1.7": { instances: 6 },
    "6 at x2.5": { instances: 6, overload: 2.5 },
    "24 at x1.7": { seconds: 5 },
    "24 at x2.5": { overload: 2.5, seconds: 5 },
    "24, one 28 %": { overload: 2, seconds: 5, largeAccountShare: 0.28 },
    "24, hasty": { overload: 2.5, seconds: 5, hastyShare: 0.3 },
    "24, one zone": { overload: 2, seconds: 5, zoneShare: 0.5 },
    "84 at x2": { instances: 84, overload: 2, seconds: 4 },
    "340 at x2.5": { instances: 340, overload: 2.5, seconds: 1, marginSeconds: [6, 3] },
};
/** Groups of requests whose shares served in time are printed. */
const OVERLOAD_GROUPS = ["all", "long", "check", "largest long", "small accounts", "large account", "patient", "hasty"];
/** Number of instances from which one seed is simulated, which takes most of a minute. */
const SINGLE_SEED_INSTANCES = 84;

function printOverloads({ seeds }: ServingOptions): void {
    printRow(["overload", "decision", ...OVERLOAD_GROUPS, "held refused"]);
    for (const [name, load] of Object.entries(OVERLOADS)) {
        const usedSeeds = (load.instances ?? 0) >= SINGLE_SEED_INSTANCES ? seeds.slice(0, 1) : seeds;
        for (const isFormer of [true, false]) {
            const outcomes = usedSeeds.map(seed => simulateWaitingLines({ ...load, isFormer, seed }));
            const shares = OVERLOAD_GROUPS.map(group => {
                const groups = outcomes.map(({ groups }) => groups[group] ?? { asked: 0, servedInTime: 0 });
                const asked = groups.reduce((sum, outcome) => sum + outcome.asked, 0);
                const served = groups.reduce((sum, { servedInTime }) => sum + servedInTime, 0);
                return asked === 0 ? "" : (served / asked).toFixed(3);
            });
            const refused = outcomes.reduce((sum, outcome) => sum + outcome.refused, 0);
            const held = outcomes.reduce((sum, { heldAndRefused }) => sum + heldAndRefused, 0);
            printRow([name, isFormer ? "former" : "new", ...shares, (held / Math.max(1, refused)).toFixed(2)]);
        }
    }
}

const options = new Command("measure:serving")
    .option("--seeds <list>", "seeds of the simulations", parseNumbers, [1, 2, 3, 4, 5])
    .option("--rates <list>", "generations per second", parseNumbers, [47, 70])
    .option("--seconds <number>", "simulated duration, in seconds", Number, 20)
    .option("--runs <list>", "numbers of generations on each leaving engine", parseNumbers, [4, 6, 9])
    .option("--notice <milliseconds>", "time until a leaving engine shuts down, in milliseconds", Number, 1700)
    .parse()
    .opts<ServingOptions>();
printPlacements(options);
printMoves(options);
printElections();
printLimits(options);
printPace(options);
printPlainCalls(options);
printPrefixCache(options);
printOverloads(options);
