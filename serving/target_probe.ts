/**
 * Finds out whether a target still runs, once for all attempts that ask at the same time.
 *
 * @module
 */
import type { Clock } from "../core/clock/mod.ts";
import { type ServiceDefinition, type ServingTarget, TargetPresence, type TargetStart } from "../core/serving/mod.ts";
import {
    checkListener,
    type ListenerState,
    type OpenConnection,
    parseAddress,
    waitMilliseconds,
} from "../network/mod.ts";
import type { EngineClient, PresenceCheck } from "./engine_client.ts";

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
/** Check for the end of a target, while its requests wait to be retried. */
const END_CHECK: PresenceCheck = { callMilliseconds: 200, withinMilliseconds: 0 };
/** Check whether a target runs on after its response, which is lost to its caller if the target does not show it. */
const PRESENCE_CHECK: PresenceCheck = { callMilliseconds: 400, withinMilliseconds: 1000 };
/** Pause between two connections to a target that accepts none, in milliseconds. */
const CONNECT_PAUSE_MILLISECONDS = 50;

const PRESENCE_BY_LISTENER: Record<ListenerState, TargetPresence> = {
    listening: TargetPresence.running,
    refused: TargetPresence.gone,
    unknown: TargetPresence.unknown,
};

/** Finds out whether targets still run. */
export class TargetProbe {
    readonly #options: TargetProbeOptions;
    /** Checks for the end of targets that are not finished yet, by target. */
    readonly #pendingEnds = new Map<string, Promise<TargetPresence>>();
    /** Checks for the presence of targets that are not finished yet, by target. */
    readonly #pendingPresences = new Map<string, Promise<TargetPresence>>();

    constructor(options: TargetProbeOptions) {
        this.#options = options;
    }

    /** Checks whether a target has ended. A target that does not respond at once is not known to have ended. */
    async hasEnded(target: ServingTarget, service: Pick<ServiceDefinition, "engine">): Promise<boolean> {
        const presence = await startSharedCall(
            this.#pendingEnds,
            formatKey(target),
            () => this.#checkPresence(target, { service, check: END_CHECK }),
        );
        return presence === TargetPresence.gone;
    }

    /** Finds out whether a target still runs; one that does not respond is asked repeatedly for a second. */
    async findPresence(
        target: ServingTarget,
        service: Pick<ServiceDefinition, "engine">,
    ): Promise<TargetPresence> {
        const presence = await startSharedCall(
            this.#pendingPresences,
            formatKey(target),
            () => this.#checkPresence(target, { service, check: PRESENCE_CHECK }),
        );
        const listed = this.#options.findTarget(target.id);
        const hasRestarted = target.startedAt !== 0 && (listed?.startedAt ?? 0) > target.startedAt;
        return hasRestarted && presence === TargetPresence.running ? TargetPresence.replaced : presence;
    }

    async #checkPresence(
        target: ServingTarget,
        { service, check }: { service: Pick<ServiceDefinition, "engine">; check: PresenceCheck; },
    ): Promise<TargetPresence> {
        const { engines, clock } = this.#options;
        if (service.engine !== undefined && !engines.isPaused(target)) {
            return engines.findPresence(target, check);
        }
        const startedAt = clock.getMonotonic();
        for (;;) {
            const state = await checkListener(parseAddress(target.address), {
                timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
                openConnection: this.#options.openConnection,
            });
            if (state !== "unknown" || clock.getMonotonic() - startedAt >= check.withinMilliseconds) {
                return PRESENCE_BY_LISTENER[state];
            }
            await waitMilliseconds(CONNECT_PAUSE_MILLISECONDS);
        }
    }
}

/** Formats the key of a start of a target. */
function formatKey({ id, startedAt }: TargetStart): string {
    return `${id} ${startedAt}`;
}

/** Starts a call, or returns the one that is pending for the same key. */
function startSharedCall<Value>(
    pending: Map<string, Promise<Value>>,
    key: string,
    startCall: () => Promise<Value>,
): Promise<Value> {
    const call = pending.get(key) ?? startCall().finally(() => pending.delete(key));
    pending.set(key, call);
    return call;
}
