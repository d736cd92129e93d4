/**
 * Client of the agent of the gateway's instance, over one persistent connection that is reopened when it is lost.
 *
 * A permit admits one request to a target. A claim reserves an idempotency key for one request, and is settled with the
 * request's outcome.
 *
 * @module
 */
import { connect } from "node:net";
import {
    type AttemptOutcome,
    MAX_GRANT_TRANSIT_MILLISECONDS,
    type Permit,
    type PermitRequest,
    type RefusalReason,
} from "../core/admission/mod.ts";
import type { AgentToGateway, GatewayToAgent, SettleMessage } from "../core/agent/mod.ts";
import type { ClaimRequest, ClaimResult } from "../core/claims/mod.ts";
import { type Address, FrameConnection } from "../network/mod.ts";

/** The agent's reply to a request for a permit. */
export type PermitResult = { kind: "granted"; heldMilliseconds: number; } | {
    kind: "refused";
    reason: RefusalReason;
};

/** Options of an {@linkcode AgentClient}. */
export interface AgentClientOptions {
    /** Name of this instance. */
    instance: string;
    /** Address of the agent. */
    address: Address;
    /** Called with each message from the agent, including replies to requests. */
    onMessage: (message: AgentToGateway) => void;
    /** Called when the connection is closed, and when an attempt to open it fails. */
    onDisconnect: () => void;
}

/** A request to the agent whose reply has not arrived yet. */
interface PendingCall<Result> {
    resolve: (result: Result) => void;
    timer: NodeJS.Timeout;
}

const RECONNECT_DELAY_MILLISECONDS = 300;
/** Time that the reply to a permit request may take beyond the wait that the request allows, in milliseconds. */
const PERMIT_REPLY_MARGIN_MILLISECONDS = 1200;
/** Time within which the reply to a claim must arrive, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 2800;
/** Interval between reports of the tokens produced, in milliseconds. */
const PROGRESS_INTERVAL_MILLISECONDS = 1000;

/** Requests permits and claims from the agent, and reports the held permits and the tokens produced under them. */
export class AgentClient {
    readonly #options: AgentClientOptions;
    /** Permit requests without a reply, by permit identifier. */
    readonly #pendingPermitRequests = new Map<string, PendingCall<PermitResult>>();
    /** Claims without a reply, by holder: the identifier of the attempt that requests the claim. */
    readonly #pendingClaims = new Map<string, PendingCall<ClaimResult>>();
    /** Settlements that the agent has not confirmed as durable, by holder. */
    readonly #pendingSettlements = new Map<string, SettleMessage>();
    /** Permits that this gateway holds, by permit identifier. */
    readonly #heldPermits = new Map<string, Permit>();
    readonly #progressTimer: NodeJS.Timeout;
    #connection: FrameConnection | undefined;
    #reconnectTimer: NodeJS.Timeout | undefined;
    #isClosed = false;

    constructor(options: AgentClientOptions) {
        this.#options = options;
        this.#progressTimer = setInterval(() => this.#sendProgress(), PROGRESS_INTERVAL_MILLISECONDS);
        this.#openConnection();
    }

    /** Number of settlements of claims that the agent has not confirmed as durable. */
    get pendingSettlementCount(): number {
        return this.#pendingSettlements.size;
    }

    /** Lists the permits that this gateway holds. */
    listHeldPermits(): Permit[] {
        return [...this.#heldPermits.values()];
    }

    /**
     * Requests a permit. Resolves with a refusal if the agent is unreachable or does not reply in time.
     *
     * A grant that was in transit for longer than {@linkcode MAX_GRANT_TRANSIT_MILLISECONDS} is released at once,
     * because the target may have restarted since.
     */
    requestPermit(request: PermitRequest): Promise<PermitResult> {
        return new Promise(resolve => {
            const { permitId, target, origin, promptTokens, lengths } = request;
            const requestedAt = performance.now();
            const handleResult = (result: PermitResult): void => {
                if (result.kind === "refused") {
                    resolve(result);
                    return;
                }
                this.#heldPermits.set(permitId, { permitId, target, origin, promptTokens, lengths, produced: 0 });
                const transitMilliseconds = performance.now() - requestedAt - result.heldMilliseconds;
                if (transitMilliseconds > MAX_GRANT_TRANSIT_MILLISECONDS) {
                    this.releasePermit(request, "cancelled");
                    resolve({ kind: "refused", reason: "no-owner" });
                    return;
                }
                resolve(result);
            };
            const timer = setTimeout(() => {
                this.#pendingPermitRequests.delete(permitId);
                this.#send({ kind: "release", permitId, target, outcome: "cancelled" });
                resolve({ kind: "refused", reason: "no-owner" });
            }, request.waitMilliseconds + PERMIT_REPLY_MARGIN_MILLISECONDS);
            this.#pendingPermitRequests.set(permitId, { resolve: handleResult, timer });
            if (!this.#send({ kind: "acquire", request })) {
                this.#resolveCall(this.#pendingPermitRequests, {
                    id: permitId,
                    result: { kind: "refused", reason: "no-owner" },
                });
            }
        });
    }

    /** Releases a permit, with the outcome of its request. Does nothing if the permit is not held. */
    releasePermit(permit: { permitId: string; target: string; }, outcome: AttemptOutcome): void {
        const { permitId, target } = permit;
        if (this.#heldPermits.delete(permitId)) {
            this.#send({ kind: "release", permitId, target, outcome });
        }
    }

    /** Records how many tokens the generation that holds a permit has produced. */
    recordProgress(permitId: string, produced: number): void {
        const permit = this.#heldPermits.get(permitId);
        if (permit !== undefined) {
            permit.produced = produced;
        }
    }

    /** Requests a claim on an idempotency key. Resolves as unavailable if no reply arrives in time. */
    requestClaim(request: ClaimRequest): Promise<ClaimResult> {
        return new Promise(resolve => {
            const timer = setTimeout(() => this.#cancelClaim(request), CLAIM_TIMEOUT_MILLISECONDS);
            this.#pendingClaims.set(request.holder, { resolve, timer });
            if (!this.#send({ kind: "claim", request })) {
                this.#resolveCall(this.#pendingClaims, { id: request.holder, result: { kind: "unavailable" } });
            }
        });
    }

    /**
     * Reports the outcome of a claimed request. Until the agent confirms that the outcome is durable, the report is
     * sent again on every reconnection.
     */
    settleClaim(message: SettleMessage): void {
        this.#pendingSettlements.set(message.holder, message);
        this.#send(message);
    }

    /** Closes the connection, and stops reconnecting. */
    close(): void {
        this.#isClosed = true;
        clearInterval(this.#progressTimer);
        clearTimeout(this.#reconnectTimer);
        this.#connection?.close();
    }

    #openConnection(): void {
        const { host, port } = this.#options.address;
        this.#connection = new FrameConnection(connect(port, host), {
            onMessage: message => this.#handleMessage(message as AgentToGateway),
            onClose: () => this.#handleClose(),
        });
        this.#connection.send({ kind: "hello", from: this.#options.instance } as { kind: string; });
        this.#send({ kind: "hold", permits: this.listHeldPermits() });
        for (const settlement of this.#pendingSettlements.values()) {
            this.#send(settlement);
        }
    }

    #handleClose(): void {
        this.#connection = undefined;
        this.#options.onDisconnect();
        for (const permitId of [...this.#pendingPermitRequests.keys()]) {
            this.#resolveCall(this.#pendingPermitRequests, {
                id: permitId,
                result: { kind: "refused", reason: "no-owner" },
            });
        }
        if (!this.#isClosed) {
            this.#reconnectTimer = setTimeout(() => this.#openConnection(), RECONNECT_DELAY_MILLISECONDS);
        }
    }

    #handleMessage(message: AgentToGateway): void {
        if (message.kind === "granted") {
            const { permitId, heldMilliseconds } = message;
            this.#resolveCall(this.#pendingPermitRequests, {
                id: permitId,
                result: { kind: "granted", heldMilliseconds },
            });
        }
        else if (message.kind === "refused") {
            const { permitId, reason } = message;
            this.#resolveCall(this.#pendingPermitRequests, { id: permitId, result: { kind: "refused", reason } });
        }
        else if (message.kind === "claim-result") {
            this.#resolveCall(this.#pendingClaims, { id: message.holder, result: message.result });
        }
        else if (message.kind === "settled") {
            this.#pendingSettlements.delete(message.holder);
        }
        this.#options.onMessage(message);
    }

    /** Resolves the pending call with the identifier `reply.id`, if there is one. */
    #resolveCall<Result>(calls: Map<string, PendingCall<Result>>, reply: { id: string; result: Result; }): void {
        const call = calls.get(reply.id);
        calls.delete(reply.id);
        clearTimeout(call?.timer);
        call?.resolve(reply.result);
    }

    /**
     * Cancels a claim to which no reply arrived in time. The claim may exist, so it is settled as not run: this
     * gateway will not dispatch the request under it.
     */
    #cancelClaim(request: ClaimRequest): void {
        this.settleClaim({ kind: "settle", key: request.key, holder: request.holder });
        this.#resolveCall(this.#pendingClaims, { id: request.holder, result: { kind: "unavailable" } });
    }

    #sendProgress(): void {
        const permits = this.listHeldPermits().map(({ permitId, produced }) => ({ permitId, produced }));
        if (permits.length > 0) {
            this.#send({ kind: "progress", permits });
        }
    }

    /** Sends `message` to the agent. @returns False if there is no connection. */
    #send(message: GatewayToAgent): boolean {
        if (this.#connection === undefined) {
            return false;
        }
        this.#connection.send(message);
        return true;
    }
}
