/**
 * Sends an accepted configuration directly to the instances.
 *
 * The platform may fail right after it has accepted a change, before the instances have read it. Some instances
 * therefore receive the configuration from this command, and distribute it to the other instances.
 *
 * @module
 */
import { connect } from "node:net";
import type { Manifest } from "../core/configuration/mod.ts";
import type { ListedInstance } from "../core/membership/mod.ts";
import { parseAddress } from "../network/mod.ts";
import { encodeFrame } from "../protocol/mod.ts";

/** Maximum number of instances to which a configuration is sent. */
const MAX_RECIPIENTS = 12;
const PUSH_TIMEOUT_MILLISECONDS = 1000;
const SENDER = "knapweedctl";

/**
 * Sends a configuration to several instances, and waits until each connection has closed. Failures are ignored.
 *
 * @param instances Instances listed in the platform's store.
 * @param change Manifest and the texts of its parts.
 */
export async function pushConfiguration(
    instances: readonly ListedInstance[],
    change: { manifest: Manifest; texts: string[]; },
): Promise<void> {
    const recipients = instances.filter(instance => instance.role === "entry" && !instance.isLeaving);
    const frames = Buffer.concat([
        encodeFrame({ kind: "hello", from: SENDER }),
        encodeFrame({ kind: "parts", texts: change.texts }),
        encodeFrame({ kind: "manifest", manifest: change.manifest }),
    ]);
    await Promise.all(recipients.slice(0, MAX_RECIPIENTS).map(({ address }) => sendFrames(address, frames)));
}

function sendFrames(address: string, frames: Buffer): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(parseAddress(address));
        socket.setTimeout(PUSH_TIMEOUT_MILLISECONDS, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        socket.on("close", () => resolve());
        socket.on("connect", () => socket.end(frames));
        socket.resume();
    });
}
