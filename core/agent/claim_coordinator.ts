/**
 * Claims idempotency keys for the local gateways, and runs the claim log shards that this instance owns.
 *
 * Each key belongs to one shard of the claim log, and rendezvous hashing assigns each shard to an instance. Claims, and
 * settlements that report how claimed requests ended, are sent to the owner of the shard.
 *
 * @module
 */
import {
    type ClaimEntry,
    type ClaimRequest,
    type ClaimResult,
    ClaimShard,
    type ClaimShardEffect,
    type ShardTimes,
} from "../claims/mod.ts";
import { hashText } from "../hashing/mod.ts";
import type { PeerMessage, SettleMessage } from "./agent_messages.ts";
import type { AgentOptions } from "./agent_options.ts";
import type { Outbox } from "./outbox.ts";

/** Dependencies of {@linkcode ClaimCoordinator} on the rest of the agent. */
export interface ClaimCoordinatorContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Collects the effects of the agent. */
    outbox: Outbox;
    /** Finds the instance that owns a shard. */
    findOwner: (shard: string) => string | undefined;
    /** Sends a message to an instance, which may be this one. */
    send: (to: string, message: PeerMessage) => void;
}

interface PendingClaim {
    connection: string;
    request: ClaimRequest;
    expiresAt: number;
}

interface PendingSettlement {
    message: SettleMessage;
    nextSendAt: number;
    expiresAt: number;
}

const DEFAULT_SHARD_COUNT = 8;
/** Time after which a gateway's claim without a result is reported as unavailable, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 2200;
const SETTLEMENT_RETRY_MILLISECONDS = 1000;
/** Time for which an unconfirmed settlement is resent, in milliseconds. */
const SETTLEMENT_TIMEOUT_MILLISECONDS = 300_000;

/** Handles claims and settlements of local gateways and of peers. */
export class ClaimCoordinator {
    readonly #context: ClaimCoordinatorContext;
    readonly #shards = new Map<string, ClaimShard>();
    /** Instance that sent each claim or settlement, by holder: the identifier of the claiming attempt. */
    readonly #requesters = new Map<string, string>();
    /** Claims of local gateways that have no result yet, by holder. */
    readonly #pendingClaims = new Map<string, PendingClaim>();
    /** Settlements of local gateways that are not confirmed as durable, by holder. */
    readonly #pendingSettlements = new Map<string, PendingSettlement>();

    constructor(context: ClaimCoordinatorContext) {
        this.#context = context;
    }

    /** True if no settlement of the local gateways, and no claim or settlement at the local shards, is pending. */
    get isIdle(): boolean {
        return this.#pendingSettlements.size === 0 && [...this.#shards.values()].every(shard => shard.isIdle);
    }

    /** Handles a claim from a local gateway: sends it to the owner of its shard. */
    handleGatewayClaim(connection: string, request: ClaimRequest, now: number): void {
        const owner = this.#findShardOwner(request.key);
        if (owner === undefined) {
            this.#sendResult(connection, request.holder, { kind: "unavailable" });
            return;
        }
        this.#pendingClaims.set(request.holder, { connection, request, expiresAt: now + CLAIM_TIMEOUT_MILLISECONDS });
        this.#context.send(owner, { kind: "claim", request });
    }

    /** Handles a settlement from a local gateway: resends it to the owner of its shard until it is durable. */
    handleGatewaySettle(message: SettleMessage, now: number): void {
        this.#pendingSettlements.set(message.holder, {
            message,
            nextSendAt: now,
            expiresAt: now + SETTLEMENT_TIMEOUT_MILLISECONDS,
        });
        this.#sendSettlements(now);
    }

    /** Handles a claim as the owner of its shard. */
    handleClaim(from: string, request: ClaimRequest): void {
        this.#requesters.set(request.holder, from);
        const shard = this.#getShard(request.key);
        this.#applyEffects(shard, shard.handleClaim(request, this.#times));
    }

    /** Handles a settlement as the owner of its shard. */
    handleSettle(from: string, message: SettleMessage): void {
        const { key, holder, outcome } = message;
        this.#requesters.set(holder, from);
        const shard = this.#getShard(key);
        const entry: Exclude<ClaimEntry, { kind: "claim"; }> = outcome === undefined
            ? { kind: "void", key, holder }
            : { kind: "outcome", key, holder, outcome };
        this.#applyEffects(shard, shard.handleSettlement(entry, this.#times));
    }

    /** Forwards the result of a claim to its gateway. */
    handleResult(holder: string, result: ClaimResult): void {
        const pending = this.#pendingClaims.get(holder);
        this.#pendingClaims.delete(holder);
        if (pending !== undefined) {
            this.#sendResult(pending.connection, holder, result);
        }
    }

    /** Removes a settlement that its shard has confirmed as durable. */
    handleSettled(holder: string): void {
        this.#pendingSettlements.delete(holder);
    }

    /** Reports claims that timed out as unavailable, resends settlements, and advances the local shards. */
    handleTick(now: number): void {
        for (const [holder, pending] of this.#pendingClaims) {
            if (pending.expiresAt <= now) {
                this.#pendingClaims.delete(holder);
                this.#sendResult(pending.connection, holder, { kind: "unavailable" });
                this.handleGatewaySettle({ kind: "settle", key: pending.request.key, holder }, now);
            }
        }
        this.#sendSettlements(now);
        for (const [name, shard] of this.#shards) {
            this.#applyEffects(shard, shard.handleTick(this.#times));
            const isOwned = this.#context.findOwner(`claims/${name}`) === this.#context.options.self.id;
            if (!isOwned && shard.isIdle) {
                this.#shards.delete(name);
            }
        }
    }

    /** Describes the shards, and counts pending claims and settlements, for a state dump. */
    dumpState(): Record<string, unknown> {
        return {
            shards: [...this.#shards.values()].map(shard => shard.dumpState()),
            pendingClaims: this.#pendingClaims.size,
            pendingSettlements: this.#pendingSettlements.size,
        };
    }

    get #times(): ShardTimes {
        const { clock } = this.#context.options;
        return { now: clock.getMonotonic(), wallTime: clock.getWallTime() };
    }

    #computeShardName(key: string): string {
        const count = this.#context.options.claimShards ?? DEFAULT_SHARD_COUNT;
        return String(hashText(key) % count).padStart(3, "0");
    }

    #findShardOwner(key: string): string | undefined {
        return this.#context.findOwner(`claims/${this.#computeShardName(key)}`);
    }

    #getShard(key: string): ClaimShard {
        const { options } = this.#context;
        const name = this.#computeShardName(key);
        const shard = this.#shards.get(name) ?? new ClaimShard(name, {
            author: options.self.id,
            createNonce: options.createId,
            ...options.claimRetentionMilliseconds === undefined
                ? {}
                : { retentionMilliseconds: options.claimRetentionMilliseconds },
        });
        this.#shards.set(name, shard);
        return shard;
    }

    #sendResult(connection: string, holder: string, result: ClaimResult): void {
        this.#context.outbox.sendGateway(connection, { kind: "claim-result", holder, result });
    }

    #sendSettlements(now: number): void {
        for (const [holder, settlement] of this.#pendingSettlements) {
            if (settlement.expiresAt <= now) {
                this.#pendingSettlements.delete(holder);
            }
            else if (settlement.nextSendAt <= now) {
                settlement.nextSendAt = now + SETTLEMENT_RETRY_MILLISECONDS;
                const owner = this.#findShardOwner(settlement.message.key);
                if (owner !== undefined) {
                    this.#context.send(owner, settlement.message);
                }
            }
        }
    }

    #applyEffects(shard: ClaimShard, effects: readonly ClaimShardEffect[]): void {
        for (const effect of effects) {
            if (effect.kind === "platform") {
                this.#context.outbox.callPlatform(effect.request, reply => {
                    this.#applyEffects(shard, shard.handleReply(reply, this.#times));
                });
            }
            else if (effect.kind === "result") {
                const to = this.#requesters.get(effect.holder) ?? this.#context.options.self.id;
                this.#requesters.delete(effect.holder);
                this.#context.send(to, { kind: "claim-result", holder: effect.holder, result: effect.result });
            }
            else {
                const to = this.#requesters.get(effect.holder) ?? this.#context.options.self.id;
                this.#requesters.delete(effect.holder);
                this.#context.send(to, { kind: "settled", holder: effect.holder });
            }
        }
    }
}
