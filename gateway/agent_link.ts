/**
 * The gateway's link to the agent of its instance.
 *
 * @module
 */
import { connect } from "node:net";
import {
    MAX_GRANT_TRANSIT,
    type Permit,
    type PermitRequest,
    type RefusalReason,
    type WorkOutcome,
} from "../core/admission/mod.ts";
import type { AgentToGateway, GatewayToAgent, SettleMessage } from "../core/agent/mod.ts";
import type { ClaimRequest, ClaimResult } from "../core/claims/mod.ts";
import { type Address, FrameConnection } from "../network/mod.ts";

/** The agent's answer to a request for a permit. */
export type AcquireResult = { kind: "granted"; heldMilliseconds: number; } | {
    kind: "refused";
    reason: RefusalReason;
};

/** Options of an {@linkcode AgentLink}. */
export interface AgentLinkOptions {
    /** Name of this instance. */
    instance: string;
    /** Address of the agent. */
    address: Address;
    /** Called with each message that is not the answer to a call. */
    onMessage: (message: AgentToGateway) => void;
    /** Called when the link is lost. */
    onLost: () => void;
}

interface PendingCall<Result> {
    resolve: (result: Result) => void;
    timer: NodeJS.Timeout;
}

const RECONNECT_MILLISECONDS = 300;
/** Time that an answer may take beyond the wait that was asked for, in milliseconds. */
const ANSWER_MILLISECONDS = 1200;
const CLAIM_MILLISECONDS = 2800;
const PROGRESS_INTERVAL = 1000;

/** Asks the agent for permits and claims, and keeps it told of what is held. */
export class AgentLink {
    readonly #options: AgentLinkOptions;
    readonly #acquires = new Map<string, PendingCall<AcquireResult>>();
    readonly #claims = new Map<string, PendingCall<ClaimResult>>();
    readonly #settlements = new Map<string, SettleMessage>();
    readonly #held = new Map<string, Permit>();
    readonly #progressTimer: NodeJS.Timeout;
    #connection: FrameConnection | undefined;
    #reconnectTimer: NodeJS.Timeout | undefined;
    #isClosed = false;

    constructor(options: AgentLinkOptions) {
        this.#options = options;
        this.#progressTimer = setInterval(() => this.#sendProgress(), PROGRESS_INTERVAL);
        this.#open();
    }

    /** Number of settlements that are not known to be durable. */
    get unsettledCount(): number {
        return this.#settlements.size;
    }

    /** Permits that this gateway holds. */
    listHeld(): Permit[] {
        return [...this.#held.values()];
    }

    /** Asks for a permit. */
    requestPermit(request: PermitRequest): Promise<AcquireResult> {
        return new Promise(resolve => {
            const { permitId, target, origin, promptTokens, lengths } = request;
            const askedAt = performance.now();
            const settle = (result: AcquireResult): void => {
                if (result.kind === "refused") {
                    resolve(result);
                    return;
                }
                this.#held.set(permitId, { permitId, target, origin, promptTokens, lengths, produced: 0 });
                const transit = performance.now() - askedAt - result.heldMilliseconds;
                if (transit > MAX_GRANT_TRANSIT) {
                    this.releasePermit(request, "cancelled");
                    resolve({ kind: "refused", reason: "no-owner" });
                    return;
                }
                resolve(result);
            };
            const timer = setTimeout(() => {
                this.#acquires.delete(permitId);
                this.#send({ kind: "release", permitId, target, outcome: "cancelled" });
                resolve({ kind: "refused", reason: "no-owner" });
            }, request.waitMilliseconds + ANSWER_MILLISECONDS);
            this.#acquires.set(permitId, { resolve: settle, timer });
            if (!this.#send({ kind: "acquire", request })) {
                this.#settleCall(this.#acquires, { name: permitId, result: { kind: "refused", reason: "no-owner" } });
            }
        });
    }

    /** Gives a permit back. */
    releasePermit(permit: { permitId: string; target: string; }, outcome: WorkOutcome): void {
        const { permitId, target } = permit;
        if (this.#held.delete(permitId)) {
            this.#send({ kind: "release", permitId, target, outcome });
        }
    }

    /** Records how many tokens the work of a permit has produced. */
    recordProgress(permitId: string, produced: number): void {
        const permit = this.#held.get(permitId);
        if (permit !== undefined) {
            permit.produced = produced;
        }
    }

    /** Asks for a claim. */
    requestClaim(request: ClaimRequest): Promise<ClaimResult> {
        return new Promise(resolve => {
            const timer = setTimeout(() => this.#giveUpClaim(request), CLAIM_MILLISECONDS);
            this.#claims.set(request.holder, { resolve, timer });
            if (!this.#send({ kind: "claim", request })) {
                this.#settleCall(this.#claims, { name: request.holder, result: { kind: "unavailable" } });
            }
        });
    }

    /** Tells how a claimed request ended; it is told again until it is durable. */
    settleClaim(message: SettleMessage): void {
        this.#settlements.set(message.holder, message);
        this.#send(message);
    }

    /** Closes the link for good. */
    close(): void {
        this.#isClosed = true;
        clearInterval(this.#progressTimer);
        clearTimeout(this.#reconnectTimer);
        this.#connection?.close();
    }

    #open(): void {
        const { host, port } = this.#options.address;
        this.#connection = new FrameConnection(connect(port, host), {
            onMessage: message => this.#handleMessage(message as AgentToGateway),
            onClose: () => this.#handleClose(),
        });
        this.#connection.send({ kind: "hello", from: this.#options.instance } as { kind: string; });
        this.#send({ kind: "hold", permits: this.listHeld() });
        for (const settlement of this.#settlements.values()) {
            this.#send(settlement);
        }
    }

    #handleClose(): void {
        this.#connection = undefined;
        this.#options.onLost();
        for (const permitId of [...this.#acquires.keys()]) {
            this.#settleCall(this.#acquires, { name: permitId, result: { kind: "refused", reason: "no-owner" } });
        }
        if (!this.#isClosed) {
            this.#reconnectTimer = setTimeout(() => this.#open(), RECONNECT_MILLISECONDS);
        }
    }

    #handleMessage(message: AgentToGateway): void {
        if (message.kind === "granted") {
            const { permitId, heldMilliseconds } = message;
            this.#settleCall(this.#acquires, { name: permitId, result: { kind: "granted", heldMilliseconds } });
        }
        else if (message.kind === "refused") {
            const { permitId, reason } = message;
            this.#settleCall(this.#acquires, { name: permitId, result: { kind: "refused", reason } });
        }
        else if (message.kind === "claim-result") {
            this.#settleCall(this.#claims, { name: message.holder, result: message.result });
        }
        else if (message.kind === "settled") {
            this.#settlements.delete(message.holder);
        }
        this.#options.onMessage(message);
    }

    #settleCall<Result>(calls: Map<string, PendingCall<Result>>, answer: { name: string; result: Result; }): void {
        const call = calls.get(answer.name);
        calls.delete(answer.name);
        clearTimeout(call?.timer);
        call?.resolve(answer.result);
    }

    /** A claim whose answer never came may exist; it is made void because this gateway won't dispatch under it. */
    #giveUpClaim(request: ClaimRequest): void {
        this.settleClaim({ kind: "settle", key: request.key, holder: request.holder });
        this.#settleCall(this.#claims, { name: request.holder, result: { kind: "unavailable" } });
    }

    #sendProgress(): void {
        const permits = this.listHeld().map(({ permitId, produced }) => ({ permitId, produced }));
        if (permits.length > 0) {
            this.#send({ kind: "progress", permits });
        }
    }

    #send(message: GatewayToAgent): boolean {
        if (this.#connection === undefined) {
            return false;
        }
        this.#connection.send(message);
        return true;
    }
}
