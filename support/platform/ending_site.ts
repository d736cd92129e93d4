/**
 * A test site on which many callers read streams side by side, each from targets of its own that end in a described way.
 *
 * @module
 */
import { waitMilliseconds } from "../../network/mod.ts";
import { type RunningChild, waitUntil } from "../processes/mod.ts";
import {
    type EndingTargetOptions,
    type EndingTargetProcess,
    FIRST_BORN,
    listStreamEvents,
    SECOND_BORN,
    startEndingTargets,
    TargetEnd,
} from "./ending_target.ts";
import { buildSiteConfiguration, buildTargetEntry, ServingSite, type SiteTarget } from "./serving_site.ts";
import { LinkCut } from "./target_link.ts";

/** Description of a target: how its stream ends, or which response of a `TargetStandIn` it sends once. */
export type CaseTarget = Pick<EndingTargetOptions, "framing" | "end" | "events"> | { answer: string; };

/** One caller, and the targets of the service that it calls. */
export interface EndingCase {
    /** Kind of request: `narrative` or `verdict`. */
    kind: string;
    /** Targets; the second one is listed once the first one has begun to answer. */
    targets: readonly CaseTarget[];
    /** True if the stream begins at another target and is moved to the first one of `targets`. Defaults to false. */
    isMoved?: boolean;
    /** Number of events that the caller has already. Defaults to 0. */
    resumeAfter?: number;
}

/** What a caller has read of a stream. */
export interface ReadStream {
    /** Body as text. */
    text: string;
    /** Status of the response; `undefined` if its connection was lost before its end. */
    status: number | undefined;
    /** True if the response has ended as a complete one. */
    isComplete: boolean;
}

/** Result of an {@linkcode EndingCase}. */
export interface EndingResult {
    /** Response to the caller. */
    first: ReadStream;
    /** Response to the caller that resumes a stream which has broken off, at a further target. */
    resumed: ReadStream | undefined;
    /** True if all described targets have received the request. */
    hasReachedTargets: boolean;
}

/** Options of {@linkcode runEndingCases}. */
export interface EndingSiteOptions {
    /** True if the callers' instance reaches no target and hands requests over to another one. Defaults to false. */
    isHandedOver?: boolean;
    /** Delay of all calls of the store once the instances are ready, in milliseconds. Defaults to 0. */
    storeDelayMilliseconds?: number;
}

/** A described target of a running site. */
interface RunningTarget {
    service: string;
    remove: () => void;
    list: (born?: number) => void;
    waitForReport: (line: "arrived" | "ended") => Promise<void>;
    hasArrived: () => boolean;
    isRestarting: boolean;
}

/** Deadline of the callers, in milliseconds. */
const DEADLINE_MILLISECONDS = 1500;
/** Time after which the store's list shows a change to it at all instances, in milliseconds. */
const LIST_LAG_MILLISECONDS = 150;
/** Interval between the events of a stream that is moved, in milliseconds. */
const SLOW_EVENT_MILLISECONDS = 60;

/** Status of a request that has not run and may come back. */
const REFUSED_STATUS = 503;
/** Number of times that a caller resumes a stream again after a refusal, and the pause before it, in milliseconds. */
const RESUMPTION_TRIES = 5;
const RESUMPTION_PAUSE_MILLISECONDS = 300;

/** Builds a configuration with `count` services of engines, and for each a route of every kind of stream. */
export function buildServicesConfiguration(count: number): Record<string, unknown> {
    const { routes, services, ...rest } = buildSiteConfiguration(6) as {
        routes: Record<string, unknown>[];
        services: Record<string, unknown>[];
    };
    const streamRoutes = routes.filter(({ name }) => name === "narrative" || name === "verdict");
    const numbers = Array.from({ length: count }, (_, index) => index);
    return {
        ...rest,
        routes: numbers.flatMap(number =>
            streamRoutes.map(({ name, ...route }) => ({
                ...route,
                name: `${String(name)}-${number}`,
                path_prefix: `/${String(name)}-${number}/`,
                service: `engines-${number}`,
            }))
        ),
        services: numbers.flatMap(number =>
            services.filter(({ name }) => name === "engines").map(service => ({
                ...service,
                name: `engines-${number}`,
            }))
        ),
    };
}

class EndingSite {
    readonly #site = new ServingSite();
    readonly #options: EndingSiteOptions;
    readonly #targets: RunningTarget[] = [];
    readonly #children = new Set<RunningChild>();
    #requests = 0;

    constructor(options: EndingSiteOptions) {
        this.#options = options;
    }

    async run(cases: readonly EndingCase[]): Promise<EndingResult[]> {
        const { isHandedOver = false, storeDelayMilliseconds = 0 } = this.#options;
        try {
            await this.#site.openStore();
            this.#site.store.putObject("config", "main", buildServicesConfiguration(cases.length));
            const targets = await this.#startTargets(cases);
            const prepared = await Promise.all(
                cases.map((ending, index) => this.#prepareCase(ending, { index, targets: targets[index] ?? [] })),
            );
            await this.#startInstances(isHandedOver ? 2 : 1);
            this.#site.store.faults.delayMilliseconds = storeDelayMilliseconds;
            return await Promise.all(prepared.map(run => run()));
        }
        finally {
            this.#children.forEach(child => child.sendSignal("SIGKILL"));
            this.#site.close();
        }
    }

    async #startInstances(count: number): Promise<void> {
        for (let index = 0; index < count; index += 1) {
            await this.#site.addInstance();
            await this.#site.waitUntilReady(index);
        }
        const [first] = this.#site.instances;
        if (count > 1 && first !== undefined) {
            await waitUntil(() => JSON.stringify(first.process.dumpState()).includes("instance-2"));
            await waitMilliseconds(LIST_LAG_MILLISECONDS);
            first.targetLink.breakConnections(LinkCut.closed);
        }
    }

    /** Starts the targets of all cases, and returns those of each. */
    async #startTargets(cases: readonly EndingCase[]): Promise<RunningTarget[][]> {
        const processes: EndingTargetOptions[] = [];
        const starts: (() => Promise<RunningTarget>)[][] = [];
        const running = new Map<string, EndingTargetProcess>();
        for (const [index, { targets }] of cases.entries()) {
            const service = `engines-${index}`;
            starts.push(targets.map((target, position) => {
                if ("answer" in target) {
                    return () => this.#startStandIn(service, target.answer);
                }
                const options = { ...target, id: `ending-${index}-${position}` };
                processes.push(options);
                return () => Promise.resolve(this.#buildTarget(service, { options, running }));
            }));
        }
        for (const target of await startEndingTargets(processes)) {
            running.set(target.id, target);
            this.#children.add(target.child);
        }
        const started = await Promise.all(starts.map(list => Promise.all(list.map(start => start()))));
        this.#targets.push(...started.flat());
        return started;
    }

    /** Lists the targets of a case that are there from the start. */
    async #prepareCase(
        ending: EndingCase,
        { index, targets }: { index: number; targets: RunningTarget[]; },
    ): Promise<() => Promise<EndingResult>> {
        const source = ending.isMoved === true
            ? await this.#site.addTarget(`engines-${index}`, { eventMilliseconds: SLOW_EVENT_MILLISECONDS })
            : undefined;
        if (source === undefined) {
            targets[0]?.list();
        }
        return () => this.#runCase(ending, { index, targets, source });
    }

    async #runCase(
        ending: EndingCase,
        started: { index: number; targets: RunningTarget[]; source: SiteTarget | undefined; },
    ): Promise<EndingResult> {
        const { index, targets, source } = started;
        const { kind, resumeAfter = 0 } = ending;
        const [, second] = targets;
        const sideActions = targets.filter(({ isRestarting }) => isRestarting).map(async target => {
            await target.waitForReport("ended");
            await waitMilliseconds(LIST_LAG_MILLISECONDS);
            target.list(SECOND_BORN);
        });
        if (second !== undefined) {
            sideActions.push(targets[0]?.waitForReport("arrived").then(() => second.list()) ?? Promise.resolve());
        }
        let isMoved = source === undefined;
        const onText = (text: string): void => {
            if (!isMoved && source !== undefined && text.includes("id: 2\n")) {
                isMoved = true;
                targets[0]?.list();
                setTimeout(() => this.#site.writeTarget(source, { state: "draining" }), SLOW_EVENT_MILLISECONDS);
            }
        };
        const first = await this.#readStream({ kind, index, after: resumeAfter, onText });
        const hasReachedTargets = targets.every(target => target.hasArrived());
        await Promise.race([Promise.allSettled(sideActions), waitMilliseconds(LIST_LAG_MILLISECONDS)]);
        const isResumed = kind === "verdict" && !first.isComplete;
        return { first, resumed: isResumed ? await this.#resumeStream(first, started) : undefined, hasReachedTargets };
    }

    /** Resumes a stream that has broken off, at a target that serves it. */
    async #resumeStream(first: ReadStream, { index }: { index: number; }): Promise<ReadStream> {
        const service = `engines-${index}`;
        this.#targets.filter(target => target.service === service).forEach(target => target.remove());
        await this.#site.addTarget(service);
        await waitMilliseconds(LIST_LAG_MILLISECONDS);
        // An instance refuses a resumption until it knows which software version began the stream.
        for (let tries = 0; tries < RESUMPTION_TRIES; tries += 1) {
            const resumed = await this.#resumeOnce(first, index);
            if (resumed.status !== REFUSED_STATUS) {
                return resumed;
            }
            await waitMilliseconds(RESUMPTION_PAUSE_MILLISECONDS);
        }
        return this.#resumeOnce(first, index);
    }

    #resumeOnce(first: ReadStream, index: number): Promise<ReadStream> {
        const ids = [...first.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        return this.#readStream({ kind: "verdict", index, after: ids.at(-1) ?? 0 });
    }

    async #readStream(
        call: { kind: string; index: number; after: number; onText?: (text: string) => void; },
    ): Promise<ReadStream> {
        const { kind, index, after, onText } = call;
        this.#requests += 1;
        let text = "";
        const part = index.toString(16);
        const result = await this.#site.call({
            kind,
            path: `/${kind}-${index}/1`,
            id: this.#requests.toString(16).padStart(16, "0"),
            deadlineMilliseconds: DEADLINE_MILLISECONDS,
            headers: {
                // A prompt without a shared part: one that crashes its target is resumed without further evidence.
                "prompt-prefix": `a${part}:100`,
                ...after === 0 ? {} : { "last-event-id": String(after) },
            },
            onChunk: chunk => {
                text += chunk.toString();
                onText?.(text);
            },
        }).catch(() => undefined);
        return { text, status: result?.status, isComplete: result?.isComplete ?? false };
    }

    async #startStandIn(service: string, answer: string): Promise<RunningTarget> {
        const target = await this.#site.addTarget(service);
        this.#site.store.removeObject("servers", target.id);
        Object.assign(target.standIn.faults, { answer, faultyAnswers: 1 });
        return {
            service,
            list: () => this.#site.writeTarget(target),
            remove: () => this.#site.store.removeObject("servers", target.id),
            waitForReport: () => Promise.resolve(),
            hasArrived: () => target.standIn.arrivals.length > 0,
            isRestarting: false,
        };
    }

    #buildTarget(
        service: string,
        target: { options: EndingTargetOptions; running: ReadonlyMap<string, EndingTargetProcess>; },
    ): RunningTarget {
        const { id, end } = target.options;
        const running = target.running.get(id);
        if (running === undefined) {
            throw new Error(`Cannot continue: target ${id} has not started.`);
        }
        return {
            service,
            list: (born = FIRST_BORN) =>
                this.#site.store.putObject(
                    "servers",
                    id,
                    buildTargetEntry({ service, address: running.address }, { born }),
                ),
            remove: () => this.#site.store.removeObject("servers", id),
            waitForReport: running.waitForReport,
            hasArrived: () => running.hasReported("arrived"),
            isRestarting: end === TargetEnd.restarted,
        };
    }
}

/** Lets callers read streams side by side, each at a service of its own, and returns what they have read. */
export function runEndingCases(
    cases: readonly EndingCase[],
    options: EndingSiteOptions = {},
): Promise<EndingResult[]> {
    return new EndingSite(options).run(cases);
}

/**
 * Counts the events that a text consists of, from the one after `after`.
 *
 * @throws {Error} If the text has other bytes than these events in order.
 */
export function countStreamEvents(text: string, after: number): number {
    const events = listStreamEvents().slice(after);
    for (let count = 0; count <= events.length; count += 1) {
        if (text === events.slice(0, count).join("")) {
            return count;
        }
    }
    throw new Error(`Cannot count the events: the text has others than those after ${after}: ${JSON.stringify(text)}`);
}
