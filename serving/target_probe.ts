/**
 * Finds out whether a target still runs, once for all attempts that ask at the same time.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { type ServiceDefinition, type ServingTarget, TargetPresence, type TargetStart } from "../core/serving/mod.ts";
import { checkListener, type ListenerState, type OpenConnection, parseAddress } from "../network/mod.ts";
import type { EngineClient, PresenceCheck } from "./engine_client.ts";
import { runUntilFinal } from "./run_until_final.ts";

/** Options of a {@linkcode TargetProbe}. */
export interface TargetProbeOptions {
    /** Client that asks engines. */
    engines: EngineClient;
    /** Opens a connection to a target. */
    openConnection: OpenConnection;
    /** Finds a target as it is listed now. */
    findTarget: (id: string) => ServingTarget | undefined;
    /** Source of time. */
    clock: Clock;
}

/** Time within which a target of a plain service accepts a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 100;
/**
 * Time after the end of a target within which nothing else is started at its address, in milliseconds, less the time of a
 * check. Afterwards a connection that is accepted there shows nothing about the target.
 */
const MAX_END_AGE_MILLISECONDS = 1000;
/** Check of a target whose requests may be retried at another one meanwhile. */
const BRIEF_CHECK: PresenceCheck = { callMilliseconds: 200, withinMilliseconds: 0 };
/** Check of a target whose response is lost to its caller unless the target responds. */
const PATIENT_CHECK: PresenceCheck = { callMilliseconds: 1000, withinMilliseconds: 600 };

const PRESENCE_BY_LISTENER: Record<ListenerState, TargetPresence> = {
    listening: TargetPresence.running,
    refused: TargetPresence.gone,
    unknown: TargetPresence.unknown,
};

/** How the presence of a target is checked. */
interface CheckOptions {
    service: Pick<ServiceDefinition, "engine">;
    check: PresenceCheck;
}

/** Finds out whether targets still run. */
export class TargetProbe {
    readonly #options: TargetProbeOptions;
    /** Checks that are not finished yet, by start of the target and time limit. */
    readonly #pending = new Map<string, Promise<TargetPresence>>();
    /** Checks that start when the pending one has finished, by the same. */
    readonly #queued = new Map<string, Promise<TargetPresence>>();

    constructor(options: TargetProbeOptions) {
        this.#options = options;
    }

    /** Finds out whether a target still runs that has lost a connection. One that does not respond at once is unknown. */
    async findPresenceBriefly(
        target: ServingTarget,
        service: Pick<ServiceDefinition, "engine">,
    ): Promise<TargetPresence> {
        return this.#classifyPresence(target, await this.#startCheck(target, { service, check: BRIEF_CHECK }));
    }

    /**
     * Finds out whether a target still runs. One that does not respond is asked repeatedly if `isPatient` is true. The call is
     * sent after this one: an earlier one may have been answered before the response ended. `endAge` is the time since which
     * its connection may have ended, in milliseconds.
     */
    async findPresence(
        target: ServingTarget,
        { service, isPatient, endAge }: {
            service: Pick<ServiceDefinition, "engine">;
            isPatient: boolean;
            endAge: number;
        },
    ): Promise<TargetPresence> {
        const check = isPatient ? PATIENT_CHECK : BRIEF_CHECK;
        const isNamed = this.#hasReport(target, service);
        const presence = this.#classifyPresence(target, await this.#queueCheck(target, { service, check }));
        // Another target may listen at the address by now.
        const isOther = presence === TargetPresence.running && !isNamed && endAge > MAX_END_AGE_MILLISECONDS;
        return isOther ? TargetPresence.unknown : presence;
    }

    /** Checks whether a target is asked for its report, which shows its start, rather than for a connection alone. */
    #hasReport(target: ServingTarget, service: Pick<ServiceDefinition, "engine">): boolean {
        return service.engine !== undefined && !this.#options.engines.isPaused(target);
    }

    /** Finds out whether the target that has responded is a later start, as far as the list shows it. */
    #classifyPresence(target: ServingTarget, presence: TargetPresence): TargetPresence {
        const listed = this.#options.findTarget(target.id);
        const hasRestarted = target.startedAt !== 0 && (listed?.startedAt ?? 0) > target.startedAt;
        return hasRestarted && presence === TargetPresence.running ? TargetPresence.replaced : presence;
    }

    /** Starts a check, or returns the one that is to start after the one that is pending. */
    #queueCheck(target: ServingTarget, options: CheckOptions): Promise<TargetPresence> {
        const key = formatKey(target, options.check);
        const pending = this.#pending.get(key);
        if (pending === undefined) {
            return this.#startCheck(target, options);
        }
        const queued = this.#queued.get(key) ?? pending.catch(() => undefined).then(() => {
            this.#queued.delete(key);
            return this.#startCheck(target, options);
        });
        this.#queued.set(key, queued);
        return queued;
    }

    /** Starts a check, or returns the one that is pending for the same start of the target. */
    #startCheck(target: ServingTarget, options: CheckOptions): Promise<TargetPresence> {
        const key = formatKey(target, options.check);
        const pending = this.#pending.get(key)
            ?? this.#checkPresence(target, options).finally(() => this.#pending.delete(key));
        this.#pending.set(key, pending);
        return pending;
    }

    async #checkPresence(target: ServingTarget, { service, check }: CheckOptions): Promise<TargetPresence> {
        const { engines, clock } = this.#options;
        if (this.#hasReport(target, service)) {
            return engines.findPresence(target, check);
        }
        const connect = (): Promise<ListenerState> =>
            checkListener(parseAddress(target.address), {
                timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
                openConnection: this.#options.openConnection,
            });
        const state = await runUntilFinal(connect, {
            clock,
            getRepeatMilliseconds: latest => latest === "unknown" ? check.withinMilliseconds : 0,
        });
        return PRESENCE_BY_LISTENER[state];
    }
}

/** Formats the key of a check of one start of a target. */
function formatKey({ id, startedAt }: TargetStart, { withinMilliseconds }: PresenceCheck): string {
    return `${id} ${startedAt} ${withinMilliseconds}`;
}
