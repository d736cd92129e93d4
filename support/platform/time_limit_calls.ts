/**
 * Calls that get no complete response, with a time limit, for a program that collects garbage while they wait.
 *
 * @module
 */
import type { AgentClient } from "../../gateway/agent_client.ts";
import { Dispatcher, type PlacementRequest } from "../../gateway/dispatcher.ts";
import type { RoutingState } from "../../gateway/routing_state.ts";
import { parseAddress } from "../../network/mod.ts";
import { StoreClient } from "../../platform/mod.ts";
import { startServingSite } from "./serving_site.ts";

/** Starts a call that gets no complete response and ends after the time limit, in milliseconds. */
type StartCall = (limitMilliseconds: number) => Promise<unknown>;

/** Opens what each call needs, by its name in the feature file. */
export const SILENT_CALLS: Record<string, () => Promise<StartCall>> = {
    "a watch of the store": openWatch,
    "a narrative": () => openRequest("narrative", { answer: "silence" }),
    "a narrative whose engine sends a byte now and then": () =>
        openRequest("narrative", { answer: "a byte now and then" }),
    "a narrative whose engine sends comments now and then": () =>
        openRequest("narrative", { answer: "comments now and then" }),
    "a stamp": () => openRequest("stamp", { answer: "silence" }),
    "a request in the queue of a gateway": openQueuedRequest,
};

/** Opens a store that never responds, for a watch. */
async function openWatch(): Promise<StartCall> {
    const { store, storeAddress } = await startServingSite({ instances: 0 });
    store.faults.isUnresponsive = true;
    return limitMilliseconds => {
        // The timeout of a watch is that of the client in addition to the wait time.
        const timeoutMilliseconds = limitMilliseconds / 2;
        const client = new StoreClient({ address: parseAddress(storeAddress), timeoutMilliseconds });
        const waitMilliseconds = limitMilliseconds - timeoutMilliseconds;
        return client.watchObjects("config", { revision: 1, waitMilliseconds, signal: new AbortController().signal });
    };
}

/** Opens an instance whose targets never finish a response. */
async function openRequest(kind: string, { answer }: { answer: string; }): Promise<StartCall> {
    const site = await startServingSite();
    for (const { standIn: { faults } } of site.targets) {
        Object.assign(faults, { answer, faultyAnswers: Infinity });
    }
    return limitMilliseconds => site.call({ kind, id: "00000000000000f1", deadlineMilliseconds: limitMilliseconds });
}

/** Opens a queue whose first request is never granted a permit. */
function openQueuedRequest(): Promise<StartCall> {
    const dispatcher = new Dispatcher({
        instance: "instance-1",
        agentClient: { requestPermit: () => new Promise(() => undefined) } as unknown as AgentClient,
        routing: { notServingReason: "", listCandidates: () => [{ name: "engine-1" }] } as unknown as RoutingState,
        maxQueue: 8,
        queueConcurrency: 1,
        random: () => 0.5,
    });
    void dispatcher.requestPlacement(buildPlacementRequest(Infinity)).catch(() => undefined);
    return Promise.resolve(limitMilliseconds =>
        dispatcher.requestPlacement(buildPlacementRequest(performance.now() + limitMilliseconds))
            .catch(() => undefined)
    );
}

/** Builds a request that waits for a place until a time on the monotonic clock, in milliseconds. */
function buildPlacementRequest(waitDeadline: number): PlacementRequest {
    return {
        modelOrService: "engines",
        targets: () => ["engine-1"],
        account: "night-shift",
        weight: 1,
        priority: 1,
        promptTokens: 10,
        lengths: [],
        waitDeadline,
        signal: new AbortController().signal,
    };
}
