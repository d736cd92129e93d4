/**
 * Starts instances of the serving program as child processes.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { waitMilliseconds } from "../../network/mod.ts";
import { callHttp, findAddresses, type RunningChild, startChild } from "../processes/mod.ts";
import { formatSettingsText } from "./settings_text.ts";

/** Path of the serving program. */
export const SERVE_PROGRAM = "dist/bin/knapweed_serve.js";

/** An instance that runs as a child process. */
export interface InstanceProcess {
    /** Path of its settings file. */
    settingsPath: string;
    /** Address that callers connect to, as `IP:port`. */
    callerAddress: string;
    /** Address of the readiness endpoint, as `IP:port`. */
    readinessAddress: string;
    /** The process. */
    child: RunningChild;
    /** Waits until the readiness endpoint responds with 200. @returns False if it has not within 5 seconds. */
    waitUntilReady: () => Promise<boolean>;
}

const READINESS_POLLS = 200;
const READINESS_POLL_MILLISECONDS = 25;

async function waitUntilReady(address: string): Promise<boolean> {
    for (let tries = 0; tries < READINESS_POLLS; tries += 1) {
        const response = await callHttp({ address, path: "/readyz" }).catch(() => undefined);
        if (response?.status === 200) {
            return true;
        }
        await waitMilliseconds(READINESS_POLL_MILLISECONDS);
    }
    return false;
}

/** Options of {@linkcode startInstanceProcess}. */
export interface InstanceProcessOptions {
    /** Directory for the settings file. */
    directory: string;
    /** Number of the instance, from which its name is made. */
    index: number;
    /** Address of the store, as `IP:port`. */
    store: string;
    /** Further settings. Defaults to none. */
    settings?: Record<string, string>;
    /** Flags of Node.js. Defaults to none. */
    nodeFlags?: readonly string[];
}

/** Writes the settings file of an instance and starts a program with it. */
export async function startInstanceProcess(program: string, options: InstanceProcessOptions): Promise<InstanceProcess> {
    const { directory, index, store, settings = {}, nodeFlags = [] } = options;
    const [caller = "", ready = "", peer = "", internal = ""] = await findAddresses(4);
    const settingsPath = join(directory, `instance-${index}.conf`);
    const internalPort = Number(internal.split(":")[1]);
    await writeFile(
        settingsPath,
        formatSettingsText({ caller, ready, peer, internalPort, store }, {
            node_name: `instance-${index}`,
            ...settings,
        }),
    );
    return {
        settingsPath,
        callerAddress: caller,
        readinessAddress: ready,
        child: startChild(program, { arguments: ["--settings", settingsPath], nodeFlags }),
        waitUntilReady: () => waitUntilReady(ready),
    };
}
