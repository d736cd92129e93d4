/**
 * Finds out whether a target has ended, once for all attempts that ask at the same time.
 *
 * @module
 */
import type { ServiceDefinition, ServingTarget } from "../core/serving/mod.ts";
import { checkListener, type OpenConnection, parseAddress } from "../network/mod.ts";
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

/** Finds out whether targets have ended: nothing listens at their address. */
export class TargetProbe {
    readonly #options: TargetProbeOptions;
    /** Results that are not known yet, by target. */
    readonly #pending = new Map<string, Promise<boolean>>();

    constructor(options: TargetProbeOptions) {
        this.#options = options;
    }

    /** Checks whether a target has ended. A target that does not respond is not known to have ended. */
    hasEnded(target: ServingTarget, service: Pick<ServiceDefinition, "engine">): Promise<boolean> {
        const pending = this.#pending.get(target.id)
            ?? this.#checkEnd(target, service).finally(() => this.#pending.delete(target.id));
        this.#pending.set(target.id, pending);
        return pending;
    }

    async #checkEnd(target: ServingTarget, { engine }: Pick<ServiceDefinition, "engine">): Promise<boolean> {
        if (engine !== undefined) {
            return this.#options.engines.hasEnded(target);
        }
        const state = await checkListener(parseAddress(target.address), {
            timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            openConnection: this.#options.openConnection,
        });
        return state === "refused";
    }
}
