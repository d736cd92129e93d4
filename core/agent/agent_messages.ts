/**
 * The messages between agents, and between an agent and its gateways.
 *
 * @module
 */
import type { Headroom, Permit, PermitRequest, RefusalReason, WorkOutcome } from "../admission/mod.ts";
import type { ClaimOutcome, ClaimRequest, ClaimResult } from "../claims/mod.ts";
import type { ConfigurationPart, Manifest } from "../configuration/mod.ts";
import type { FarewellMessage, GossipMessage, GossipReplyMessage } from "../membership/mod.ts";

/** Asks for a permit. */
export interface AcquireMessage {
    kind: "acquire";
    request: PermitRequest;
}

/** Gives a permit. */
export interface GrantedMessage {
    kind: "granted";
    permitId: string;
    headroom: Headroom;
    /** Time for which the owner kept the request waiting, in milliseconds. */
    heldMilliseconds: number;
}

/** Refuses a permit. */
export interface RefusedMessage {
    kind: "refused";
    permitId: string;
    reason: RefusalReason;
    headroom?: Headroom;
}

/** Gives a permit back, or withdraws the request for it. */
export interface ReleaseMessage {
    kind: "release";
    permitId: string;
    target: string;
    outcome: WorkOutcome;
}

/** Renews permits, or tells a new owner of them. */
export interface AnnounceMessage {
    kind: "announce";
    permits: Permit[];
}

/** Tells the new owner of a target that the previous one has given it up. */
export interface HandoverOfferMessage {
    kind: "handover-offer";
    target: string;
}

/** Asks the previous owner of a target for what it knows. */
export interface HandoverRequestMessage {
    kind: "handover-request";
    target: string;
    /** Reading of the sender's monotonic clock, which the answer echoes. */
    sentAt: number;
}

/** Passes the permits of one target to its new owner. */
export interface HandoverMessage {
    kind: "handover";
    target: string;
    /** The `sentAt` of the question. */
    echo: number;
    /** Time since the sender gave the target up, in milliseconds. */
    age: number;
    permits: Permit[];
    /** True where the sender could account for all that ran. */
    isSettled: boolean;
}

/** Tells gateways how much more targets can take. */
export interface HeadroomMessage {
    kind: "headroom";
    items: Headroom[];
}

/** Asks for a claim. */
export interface ClaimMessage {
    kind: "claim";
    request: ClaimRequest;
}

/** Answers a {@linkcode ClaimMessage}. */
export interface ClaimResultMessage {
    kind: "claim-result";
    holder: string;
    result: ClaimResult;
}

/** Tells how a claimed request ended; without an outcome it did not run. */
export interface SettleMessage {
    kind: "settle";
    key: string;
    holder: string;
    outcome?: ClaimOutcome;
}

/** Confirms that a {@linkcode SettleMessage} is durable. */
export interface SettledMessage {
    kind: "settled";
    holder: string;
}

/** Offers a manifest to a peer. */
export interface ManifestMessage {
    kind: "manifest";
    manifest: Manifest;
}

/** Asks a peer for its manifest and for parts of it. */
export interface PullMessage {
    kind: "pull";
    hashes: string[];
}

/** Parts of the configuration. */
export interface PartsMessage {
    kind: "parts";
    texts: string[];
}

/** Names of targets and instances that the platform is taking away. */
export interface LeavingMessage {
    kind: "leaving";
    names: string[];
}

/** Any message between two agents. */
export type PeerMessage =
    | GossipMessage
    | GossipReplyMessage
    | FarewellMessage
    | AcquireMessage
    | GrantedMessage
    | RefusedMessage
    | ReleaseMessage
    | AnnounceMessage
    | HandoverOfferMessage
    | HandoverRequestMessage
    | HandoverMessage
    | HeadroomMessage
    | ClaimMessage
    | ClaimResultMessage
    | SettleMessage
    | SettledMessage
    | ManifestMessage
    | PullMessage
    | PartsMessage;

/** Tells an agent how many tokens its gateway's running work has produced. */
export interface ProgressMessage {
    kind: "progress";
    permits: { permitId: string; produced: number; }[];
}

/** Tells an agent which permits its gateway holds, after their link was opened again. */
export interface HoldMessage {
    kind: "hold";
    permits: Permit[];
}

/** Any message from a gateway to its agent. */
export type GatewayToAgent =
    | AcquireMessage
    | ReleaseMessage
    | ProgressMessage
    | HoldMessage
    | ClaimMessage
    | SettleMessage;

/** Gives a gateway the configuration in force. */
export interface ConfigurationMessage {
    kind: "configuration";
    generation: number;
    /** Addresses of all parts. */
    hashes: string[];
    /** Parts that the gateway was not sent before. */
    parts: ConfigurationPart[];
}

/** Tells a gateway whether it may start new work, and why not. */
export interface ServingMessage {
    kind: "serving";
    isServing: boolean;
    reason: string;
}

/** Any message from an agent to a gateway. */
export type AgentToGateway =
    | ConfigurationMessage
    | ServingMessage
    | LeavingMessage
    | GrantedMessage
    | RefusedMessage
    | HeadroomMessage
    | ClaimResultMessage
    | SettledMessage;
