/**
 * Steps about instances that are partitioned from all targets.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { TargetReachability } from "../../core/serving/mod.ts";
import {
    openHttpServer,
    openObservedConnection,
    parseAddress,
    setUnframed,
    waitMilliseconds,
} from "../../network/mod.ts";
import { decodeCallerRequest } from "../../platform/mod.ts";
import type { CallerExchange, ServingContext } from "../../serving/caller_exchange.ts";
import { PartitionMonitor, ServingState, TargetConnections } from "../../serving/mod.ts";
import { sendThroughPeer } from "../../serving/peer_relay.ts";
import { LinkCut } from "../../support/platform/mod.ts";
import { callHttp, findAddresses, type HttpResult } from "../../support/processes/mod.ts";
import { DecisionLog, systemClock } from "../../telemetry/mod.ts";
import { createRequestId, getInstance, getSite } from "../support/site_context.ts";

/** A request of the scenario. */
interface SentRequest {
    id: string;
    kind: string;
    instance: number;
    milliseconds: number;
    /** Response; `undefined` if none has arrived. */
    result: HttpResult | undefined;
}

/** Result of the latest check of targets. */
let hasReachedTarget = false;

let handedOver: HttpResult | undefined;

When("a request is handed over to an address whose responses have neither a length nor chunks", async function() {
    const [peer = "", caller = ""] = await findAddresses(2);
    const peerServer = await openHttpServer({
        address: parseAddress(peer),
        handler: (_, response) => {
            setUnframed(response);
            response.end("a part of the answer");
        },
    });
    const clock = systemClock;
    const context = {
        listRelayPeers: () => [peer],
        log: new DecisionLog({ name: "knapweed-serve", clock, writeLine: () => true }),
        metrics: { countRequest: () => undefined },
        clock,
        random: Math.random,
    } as unknown as ServingContext;
    const callerServer = await openHttpServer({
        address: parseAddress(caller),
        handler: async (request, response) => {
            const exchange = {
                request: decodeCallerRequest(request, Buffer.alloc(0)),
                response,
                route: { name: "lookup" },
                arrivedAt: clock.getMonotonic(),
                deadline: clock.getMonotonic() + 1000,
                signal: new AbortController().signal,
                isCallerDisconnected: () => false,
            } as unknown as CallerExchange;
            await sendThroughPeer(context, exchange);
        },
    });
    handedOver = await callHttp({ address: caller, path: "/lookup/1" }).catch(() => undefined);
    peerServer.close();
    callerServer.close();
});

Then("its response is not complete", function() {
    assert.notEqual(handedOver?.isComplete, true, `"${handedOver?.body.toString()}" looks complete`);
});

When("targets are checked by an instance that stalls for {int} ms meanwhile", async function(milliseconds: number) {
    const clock = systemClock;
    const log = new DecisionLog({ name: "knapweed-serve", clock, writeLine: () => true });
    const { settings } = getInstance(1);
    const state = new ServingState({ settings, clock, log });
    const targets = getSite().targets.map(({ id, service, address }) => ({
        id,
        service,
        address,
        zone: settings.zone,
        slots: 1,
        isLeaving: false,
        coldMilliseconds: 0,
        startedAt: 0,
    }));
    state.applySnapshot({ revision: 1, targets }, "store");
    const monitor = new PartitionMonitor({
        state,
        connections: new TargetConnections(),
        openConnection: openObservedConnection,
        log,
        clock,
        random: Math.random,
        onChange: () => undefined,
    });
    const check = monitor.checkTargets();
    const stalledUntil = performance.now() + milliseconds;
    while (performance.now() < stalledUntil) {
        // The process does nothing else.
    }
    hasReachedTarget = await check;
});

Then("the check has reached a target", function() {
    assert.ok(hasReachedTarget, "no target has accepted a connection");
});

/** Kinds of the requests, which are sent in turn. */
const KINDS = ["lookup", "stamp", "narrative", "verdict"];
/** Interval between two requests to the same instance, in milliseconds. */
const INTERVAL_MILLISECONDS = 60;

/** All requests of the scenario, and those of the latest step. */
let requests: SentRequest[] = [];
let latestRequests: SentRequest[] = [];

async function sendRequest(instance: number, kind: string): Promise<void> {
    const request: SentRequest = { id: createRequestId(), kind, instance, milliseconds: 0, result: undefined };
    latestRequests.push(request);
    requests.push(request);
    const sentAt = performance.now();
    request.result = await getSite().call({ kind, id: request.id, instance }).catch(() => undefined);
    request.milliseconds = performance.now() - sentAt;
}

/** Sends requests to all instances at a fixed interval, and waits for the responses. */
async function sendRequests(milliseconds: number): Promise<void> {
    latestRequests = [];
    const startedAt = performance.now();
    const calls: Promise<void>[] = [];
    for (let count = 0; count * INTERVAL_MILLISECONDS < milliseconds; count += 1) {
        await waitMilliseconds(Math.max(0, startedAt + count * INTERVAL_MILLISECONDS - performance.now()));
        for (const instance of getSite().instances.keys()) {
            calls.push(sendRequest(instance, KINDS[count % KINDS.length] ?? ""));
        }
    }
    await Promise.all(calls);
}

Given("callers send requests to all instances for {int} ms", async function(milliseconds: number) {
    await sendRequests(milliseconds);
});

When(/^the connections of instances 1 and 2 to targets are (reset|silent|closed)$/, function(cut: LinkCut) {
    requests = [];
    [1, 2].forEach(number => getInstance(number).targetLink.breakConnections(cut));
});

When(
    "the connections of instances 1 and 2 to targets are reset in the middle of {int} lookups",
    async function(count: number) {
        for (const { standIn } of getSite().targets) {
            Object.assign(standIn.faults, { answer: "silence", faultyAnswers: count });
        }
        const calls = Array.from({ length: count }, (_, index) => sendRequest(index % 2, "lookup"));
        await waitMilliseconds(INTERVAL_MILLISECONDS);
        [1, 2].forEach(number => getInstance(number).targetLink.breakConnections(LinkCut.reset));
        await Promise.all(calls);
    },
);

When("the connections of instances 1 and 2 to targets work again", function() {
    [1, 2].forEach(number => getInstance(number).targetLink.resume());
});

When("all targets end", function() {
    requests = [];
    getSite().targets.forEach(({ opened }) => opened.close());
});

function isServed({ result }: SentRequest): boolean {
    return result?.status === 200 && result.isComplete;
}

Then(
    "each instance has served at least {int} in {int} of the latest requests",
    function(count: number, all: number) {
        for (const instance of getSite().instances.keys()) {
            const own = latestRequests.filter(request => request.instance === instance);
            const failed = own.filter(request => !isServed(request));
            const bodies = failed.map(({ kind, result }) => `${kind}: ${result?.body.toString().slice(0, 200)}`);
            assert.ok(
                own.length - failed.length >= own.length * count / all,
                `instance ${instance + 1} has served ${own.length - failed.length} of ${own.length}: ${
                    bodies.join("; ")
                }`,
            );
        }
    },
);

Then("no request has run twice, and none that was refused has run", function() {
    const runs = getSite().targets.flatMap(({ standIn }) => standIn.started);
    for (const { id, kind, result } of requests) {
        const count = runs.filter(run => run === id).length;
        if (kind === "stamp" || kind === "narrative") {
            assert.ok(count <= 1, `a ${kind} ran ${count} times`);
            assert.ok(result?.status !== 503 || count === 0, `a ${kind} was refused and ran`);
        }
    }
});

Then("no instance has seen a target end", function() {
    const lines = getSite().instances.flatMap(instance => instance.lines);
    assert.deepEqual(lines.filter(({ event }) => event === "target crash observed"), []);
});

Then("all instances reach targets themselves", function() {
    for (const { lines } of getSite().instances) {
        const changes = lines.filter(({ event }) => event === "all targets lost" || event === "targets regained");
        assert.notEqual(changes.at(-1)?.["event"], "all targets lost");
    }
});

Then("no request was served, and each is refused within {int} ms", function(milliseconds: number) {
    for (const { kind, result, milliseconds: duration } of requests) {
        assert.ok(result !== undefined && [502, 503].includes(result.status), `${kind}: ${result?.status}`);
        assert.ok(duration < milliseconds, `a ${kind} was refused after ${duration.toFixed(0)} ms`);
    }
});

/** Reachability that the scenario has brought about. */
let reachability = new TargetReachability();

When("an instance has seen {string}", function(history: string) {
    reachability = new TargetReachability();
    for (const entry of history.split(" ").filter(text => text !== "")) {
        const [name = "", time = ""] = entry.split("@");
        if (name === "lost" || name === "reached") {
            reachability.recordCheck(name === "reached", Number(time));
        }
        else {
            reachability.recordConnectFailure(name, Number(time));
        }
    }
});

Then(
    /^a request with the random number ([\d.]+) at (\d+) ms goes to (a target|a peer)$/,
    function(random: string, time: string, destination: string) {
        const isDirect = reachability.decideDirect(Number(time), Number(random));
        assert.equal(isDirect ? "a target" : "a peer", destination);
    },
);

/** Lists the times from the end of an instance's partition to the requests that it handed over after it. */
function listHandOversAfterReturn(number: number): number[] {
    const { lines } = getInstance(number);
    const regainedAt = lines.findLast(({ event }) => event === "targets regained")?.["time"];
    assert.ok(regainedAt !== undefined, `instance ${number} has regained no targets`);
    return lines.filter(({ event }) => event === "request handed over")
        .map(line => Date.parse(String(line["time"])) - Number(line["milliseconds"]) - Date.parse(String(regainedAt)))
        .filter(time => time >= 0);
}

Then(
    "instances 1 and 2 have handed over some requests in the first {int} ms after they regained targets",
    function(milliseconds: number) {
        for (const number of [1, 2]) {
            assert.ok(listHandOversAfterReturn(number).some(time => time <= milliseconds));
        }
    },
);

Then("they have handed over none later than {int} ms after that", function(milliseconds: number) {
    for (const number of [1, 2]) {
        assert.deepEqual(listHandOversAfterReturn(number).filter(time => time > milliseconds), []);
    }
});
