/**
 * Finds out whether a target has ended, once for all attempts that ask at the same time.
 *
 * @module
 */
import { type ServiceDefinition, type ServingTarget, TargetPresence } from "../core/serving/mod.ts";
import { checkListener, type ListenerState, type OpenConnection, parseAddress } from "../network/mod.ts";
import type { EngineClient } from "./engine_client.ts";

/** Options of a {@linkcode TargetProbe}. */
export interface TargetProbeOptions {
    /** Client that asks engines. */
    engines: EngineClient;
    /** Opens a connection to a target of a plain service. */
    openConnection: OpenConnection;
}

/** Time within which a target of a plain service accepts a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 100;

const PRESENCE_BY_LISTENER: Record<ListenerState, TargetPresence> = {
    listening: TargetPresence.running,
    refused: TargetPresence.gone,
    unknown: TargetPresence.unknown,
};

/** Finds out whether targets still run. */
export class TargetProbe {
    readonly #options: TargetProbeOptions;
    /** Results that are not known yet, by target. */
    readonly #pending = new Map<string, Promise<TargetPresence>>();

    constructor(options: TargetProbeOptions) {
        this.#options = options;
    }

    /** Checks whether a target has ended. A target that does not respond is not known to have ended. */
    async hasEnded(target: ServingTarget, service: Pick<ServiceDefinition, "engine">): Promise<boolean> {
        return await this.findPresence(target, service) === TargetPresence.gone;
    }

    /** Finds out whether a target still runs. */
    findPresence(target: ServingTarget, service: Pick<ServiceDefinition, "engine">): Promise<TargetPresence> {
        const pending = this.#pending.get(target.id)
            ?? this.#findPresence(target, service).finally(() => this.#pending.delete(target.id));
        this.#pending.set(target.id, pending);
        return pending;
    }

    async #findPresence(
        target: ServingTarget,
        { engine }: Pick<ServiceDefinition, "engine">,
    ): Promise<TargetPresence> {
        if (engine !== undefined) {
            return this.#options.engines.findPresence(target);
        }
        const state = await checkListener(parseAddress(target.address), {
            timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            openConnection: this.#options.openConnection,
        });
        return PRESENCE_BY_LISTENER[state];
    }
}
