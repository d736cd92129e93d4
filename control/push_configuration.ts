/**
 * Sends an accepted configuration straight to the instances.
 *
 * The platform may go down right after it has accepted a change. What the command sends itself reaches the instances
 * all the same, and they tell each other.
 *
 * @module
 */
import { connect } from "node:net";
import type { Manifest } from "../core/configuration/mod.ts";
import type { ListedInstance } from "../core/membership/mod.ts";
import { parseAddress } from "../network/mod.ts";
import { encodeFrame } from "../protocol/mod.ts";

/** Instances that a configuration is sent to, at most. */
const MAX_RECEIVERS = 12;
const PUSH_TIMEOUT = 1000;
const SENDER = "knapweedctl";

/**
 * Sends a configuration to some instances, and waits until it has left.
 *
 * @param instances Instances that the platform lists.
 * @param change Manifest, and the texts of its parts.
 */
export async function pushConfiguration(
    instances: readonly ListedInstance[],
    change: { manifest: Manifest; texts: string[]; },
): Promise<void> {
    const receivers = instances.filter(instance => instance.role === "entry" && !instance.isLeaving);
    const frames = Buffer.concat([
        encodeFrame({ kind: "hello", from: SENDER }),
        encodeFrame({ kind: "parts", texts: change.texts }),
        encodeFrame({ kind: "manifest", manifest: change.manifest }),
    ]);
    await Promise.all(receivers.slice(0, MAX_RECEIVERS).map(({ address }) => sendFrames(address, frames)));
}

function sendFrames(address: string, frames: Buffer): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(parseAddress(address));
        socket.setTimeout(PUSH_TIMEOUT, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        socket.on("close", () => resolve());
        socket.on("connect", () => socket.end(frames));
        socket.resume();
    });
}
