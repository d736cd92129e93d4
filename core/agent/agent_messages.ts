/**
 * The messages between agents, and between an agent and the gateways of its instance.
 *
 * @module
 */
import type { AttemptOutcome, Headroom, Permit, PermitRequest, RefusalReason } from "../admission/mod.ts";
import type { ClaimOutcome, ClaimRequest, ClaimResult } from "../claims/mod.ts";
import type { ConfigurationPart, Manifest } from "../configuration/mod.ts";
import type { GossipMessage, GossipReplyMessage, ShutdownMessage } from "../membership/mod.ts";

/** Requests a permit to run one caller's request on a target. */
export interface AcquireMessage {
    kind: "acquire";
    request: PermitRequest;
}

/** Grants a permit. */
export interface GrantedMessage {
    kind: "granted";
    permitId: string;
    headroom: Headroom;
    /** Time for which the target's owner queued the request, in milliseconds. */
    heldMilliseconds: number;
}

/** Refuses a permit request. */
export interface RefusedMessage {
    kind: "refused";
    permitId: string;
    reason: RefusalReason;
    headroom?: Headroom;
}

/** Releases a permit, or cancels the request for it. */
export interface ReleaseMessage {
    kind: "release";
    permitId: string;
    target: string;
    outcome: AttemptOutcome;
}

/** Renews permits at the owner of their target, or makes them known to a new owner. */
export interface AnnounceMessage {
    kind: "announce";
    permits: Permit[];
}

/** Informs the new owner of a target that the sender has released its ownership. */
export interface HandoverOfferMessage {
    kind: "handover-offer";
    target: string;
}

/** Requests the permits of a target from its previous owner. */
export interface HandoverRequestMessage {
    kind: "handover-request";
    target: string;
    /** Reading of the sender's monotonic clock, which the reply echoes. */
    sentAt: number;
}

/** Transfers the permits of a target to its new owner. */
export interface HandoverMessage {
    kind: "handover";
    target: string;
    /** The `sentAt` of the request. */
    echo: number;
    /** Time since the sender released the ownership, in milliseconds. */
    age: number;
    permits: Permit[];
    /** True if the sender could grant the whole limit, so `permits` accounts for every request on the target. */
    isSettled: boolean;
}

/** Reports the spare capacity of targets. */
export interface HeadroomMessage {
    kind: "headroom";
    items: Headroom[];
}

/** Requests a claim on an idempotency key. */
export interface ClaimMessage {
    kind: "claim";
    request: ClaimRequest;
}

/** Reply to a {@linkcode ClaimMessage}. */
export interface ClaimResultMessage {
    kind: "claim-result";
    /** Identifier of the attempt that requested the claim. */
    holder: string;
    result: ClaimResult;
}

/** Reports how a claimed request ended. */
export interface SettleMessage {
    kind: "settle";
    /** Idempotency key. */
    key: string;
    /** Identifier of the attempt that holds the claim. */
    holder: string;
    /** Outcome of the request; absent if it did not run. */
    outcome?: ClaimOutcome;
}

/** Confirms that a {@linkcode SettleMessage} is durable. */
export interface SettledMessage {
    kind: "settled";
    /** Identifier of the attempt that held the claim. */
    holder: string;
}

/** Sends a manifest to a peer. */
export interface ManifestMessage {
    kind: "manifest";
    manifest: Manifest;
}

/** Requests configuration parts from a peer, or its manifest. */
export interface PullMessage {
    kind: "pull";
    /** Content hashes of the requested parts; empty to request the manifest. */
    hashes: string[];
}

/** Sends configuration parts to a peer. */
export interface PartsMessage {
    kind: "parts";
    /** JSON texts of the parts. */
    texts: string[];
}

/** Sends a gateway the names of the leaving targets and instances. */
export interface LeavingMessage {
    kind: "leaving";
    names: string[];
}

/** Any message between two agents. */
export type PeerMessage =
    | GossipMessage
    | GossipReplyMessage
    | ShutdownMessage
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

/** Reports how many tokens the generation of each permit of a gateway has produced. */
export interface ProgressMessage {
    kind: "progress";
    permits: { permitId: string; produced: number; }[];
}

/** Reports the permits that a gateway holds after it has reconnected to its agent. */
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

/** Sends a gateway the configuration in force. */
export interface ConfigurationMessage {
    kind: "configuration";
    generation: number;
    /** Content hashes of all parts. */
    hashes: string[];
    /** Parts that this gateway has not received before. */
    parts: ConfigurationPart[];
}

/** Informs a gateway whether it may start new requests. */
export interface ServingMessage {
    kind: "serving";
    isServing: boolean;
    /** Reason why the gateway may not start new requests; empty if it may. */
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
