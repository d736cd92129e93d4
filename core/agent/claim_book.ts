/**
 * Routes claims to the owners of their shards, and keeps the shards that this instance owns.
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

/** What the book needs of the rest of the agent. */
export interface ClaimBookContext {
    /** Options of the agent. */
    options: AgentOptions;
    /** Collector of effects. */
    outbox: Outbox;
    /** Finds the instance that owns a shard. */
    findOwner: (shard: string) => string | undefined;
    /** Sends a message to an instance, this one too. */
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

const DEFAULT_SHARDS = 8;
/** Time after which a gateway's claim is answered as unavailable, in milliseconds. */
const CLAIM_TIMEOUT = 2200;
const SETTLE_RETRY = 1000;
/** Time for which a settlement is sent again, in milliseconds. */
const SETTLE_TIMEOUT = 300_000;

/** Handles the claims of local gateways and of peers. */
export class ClaimBook {
    readonly #context: ClaimBookContext;
    readonly #shards = new Map<string, ClaimShard>();
    /** Instance that each claim or settlement came from, by holder. */
    readonly #origins = new Map<string, string>();
    readonly #pending = new Map<string, PendingClaim>();
    readonly #settlements = new Map<string, PendingSettlement>();

    constructor(context: ClaimBookContext) {
        this.#context = context;
    }

    /** True where nothing of this instance or its gateways waits to become durable. */
    get isIdle(): boolean {
        return this.#settlements.size === 0 && [...this.#shards.values()].every(shard => shard.isIdle);
    }

    /** Takes a claim from a local gateway. */
    handleGatewayClaim(connection: string, request: ClaimRequest, now: number): void {
        const owner = this.#findShardOwner(request.key);
        if (owner === undefined) {
            this.#sendResult(connection, request.holder, { kind: "unavailable" });
            return;
        }
        this.#pending.set(request.holder, { connection, request, expiresAt: now + CLAIM_TIMEOUT });
        this.#context.send(owner, { kind: "claim", request });
    }

    /** Takes a settlement from a local gateway, and sends it until it is durable. */
    handleGatewaySettle(message: SettleMessage, now: number): void {
        this.#settlements.set(message.holder, { message, nextSendAt: now, expiresAt: now + SETTLE_TIMEOUT });
        this.#sendSettlements(now);
    }

    /** Takes a claim, as the owner of its shard. */
    handleClaim(from: string, request: ClaimRequest): void {
        this.#origins.set(request.holder, from);
        const shard = this.#getShard(request.key);
        this.#apply(shard, shard.handleClaim(request, this.#times));
    }

    /** Takes a settlement, as the owner of its shard. */
    handleSettle(from: string, message: SettleMessage): void {
        const { key, holder, outcome } = message;
        this.#origins.set(holder, from);
        const shard = this.#getShard(key);
        const entry: Exclude<ClaimEntry, { kind: "claim"; }> = outcome === undefined
            ? { kind: "void", key, holder }
            : { kind: "outcome", key, holder, outcome };
        this.#apply(shard, shard.handleSettlement(entry, this.#times));
    }

    /** Passes the answer to a claim on to its gateway. */
    handleResult(holder: string, result: ClaimResult): void {
        const pending = this.#pending.get(holder);
        this.#pending.delete(holder);
        if (pending !== undefined) {
            this.#sendResult(pending.connection, holder, result);
        }
    }

    /** Notes that a settlement is durable. */
    handleSettled(holder: string): void {
        this.#settlements.delete(holder);
    }

    /** Lets claims time out, sends settlements again, and drives the shards. */
    handleTick(now: number): void {
        for (const [holder, pending] of this.#pending) {
            if (pending.expiresAt <= now) {
                this.#pending.delete(holder);
                this.#sendResult(pending.connection, holder, { kind: "unavailable" });
                this.handleGatewaySettle({ kind: "settle", key: pending.request.key, holder }, now);
            }
        }
        this.#sendSettlements(now);
        for (const [name, shard] of this.#shards) {
            this.#apply(shard, shard.handleTick(this.#times));
            const isOwned = this.#context.findOwner(`claims/${name}`) === this.#context.options.self.id;
            if (!isOwned && shard.isIdle) {
                this.#shards.delete(name);
            }
        }
    }

    /** Describes the shards, for a dump. */
    dumpState(): Record<string, unknown> {
        return {
            shards: [...this.#shards.values()].map(shard => shard.dumpState()),
            pendingClaims: this.#pending.size,
            pendingSettlements: this.#settlements.size,
        };
    }

    get #times(): ShardTimes {
        const { clock } = this.#context.options;
        return { now: clock.getMonotonic(), wallTime: clock.getWallTime() };
    }

    #nameShard(key: string): string {
        const count = this.#context.options.claimShards ?? DEFAULT_SHARDS;
        return String(hashText(key) % count).padStart(3, "0");
    }

    #findShardOwner(key: string): string | undefined {
        return this.#context.findOwner(`claims/${this.#nameShard(key)}`);
    }

    #getShard(key: string): ClaimShard {
        const { options } = this.#context;
        const name = this.#nameShard(key);
        const shard = this.#shards.get(name) ?? new ClaimShard(name, {
            author: options.self.id,
            createNonce: options.createId,
            ...options.claimHorizon === undefined ? {} : { horizonMilliseconds: options.claimHorizon },
        });
        this.#shards.set(name, shard);
        return shard;
    }

    #sendResult(connection: string, holder: string, result: ClaimResult): void {
        this.#context.outbox.sendGateway(connection, { kind: "claim-result", holder, result });
    }

    #sendSettlements(now: number): void {
        for (const [holder, settlement] of this.#settlements) {
            if (settlement.expiresAt <= now) {
                this.#settlements.delete(holder);
            }
            else if (settlement.nextSendAt <= now) {
                settlement.nextSendAt = now + SETTLE_RETRY;
                const owner = this.#findShardOwner(settlement.message.key);
                if (owner !== undefined) {
                    this.#context.send(owner, settlement.message);
                }
            }
        }
    }

    #apply(shard: ClaimShard, effects: readonly ClaimShardEffect[]): void {
        for (const effect of effects) {
            if (effect.kind === "platform") {
                this.#context.outbox.callPlatform(effect.request, reply => {
                    this.#apply(shard, shard.handleReply(reply, this.#times));
                });
            }
            else if (effect.kind === "result") {
                const to = this.#origins.get(effect.holder) ?? this.#context.options.self.id;
                this.#origins.delete(effect.holder);
                this.#context.send(to, { kind: "claim-result", holder: effect.holder, result: effect.result });
            }
            else {
                const to = this.#origins.get(effect.holder) ?? this.#context.options.self.id;
                this.#origins.delete(effect.holder);
                this.#context.send(to, { kind: "settled", holder: effect.holder });
            }
        }
    }
}
