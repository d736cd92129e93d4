/**
 * Steps that cause failures between real processes and check their effects on callers, engines and services.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { applyRuleEdit } from "../../control/mod.ts";
import type { Inventory } from "../../core/inventory/mod.ts";
import { parseAddress, waitMilliseconds } from "../../network/mod.ts";
import { KeyValueStore } from "../../platform/mod.ts";
import { callHttp, type HttpResult, setFaults, waitUntil } from "../../support/processes/mod.ts";
import { fetchEngineState } from "../support/engine_state.ts";
import { startScenarioFleet } from "../support/scenario_fleet.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";
import { parseStream } from "../support/sse.ts";
import { buildGenerationBody, countStamps } from "./caller_steps.ts";

Given(
    "a fleet of {int} instance(s), {int} engine(s) and {int} service(s) without an outcome lookup",
    async function(this: ScenarioWorld, instances: number, engines: number, services: number) {
        this.fleet = await startScenarioFleet({
            instances,
            engines,
            services,
            editInventory: inventory => ({
                ...inventory,
                targets: inventory.targets.map(({ outcomePath: _outcomePath, ...target }) => target),
            }),
        });
    },
);

Given(
    "a fleet of {int} instances, {int} engines and {int} service, and engines that stay cold for {int} ms",
    async function(
        this: ScenarioWorld,
        instances: number,
        engines: number,
        services: number,
        coldMilliseconds: number,
    ) {
        const engineSpec = { coldMilliseconds };
        this.fleet = await startScenarioFleet({
            instances,
            engines,
            services,
            engineSpec,
        });
    },
);

Given(
    "a fleet of {int} instance, {int} engine(s) and {int} service, and engines with memory for {int} tokens",
    async function(this: ScenarioWorld, instances: number, engines: number, services: number, memoryTokens: number) {
        const engineSpec = { memoryTokens };
        const editInventory = (inventory: Inventory): Inventory => ({
            ...inventory,
            targets: inventory.targets.map(each => ({
                ...each,
                memoryTokens: Math.max(each.memoryTokens, memoryTokens),
            })),
        });
        this.fleet = await startScenarioFleet({
            editInventory,
            instances,
            engines,
            services,
            engineSpec,
        });
    },
);

/** Number of tokens that a generation must have exceeded before the scenario continues. */
const STARTED_GENERATION_TOKENS = 20;

async function setServiceFaults(world: ScenarioWorld, faults: Record<string, number>): Promise<void> {
    await Promise.all(world.fleet.services.map(service => setFaults(service.address, faults)));
}

When("the services close the next connection after running the request", async function(this: ScenarioWorld) {
    await setServiceFaults(this, { cutAfterRun: 1 });
});

When("the services close the next connection before running the request", async function(this: ScenarioWorld) {
    await setServiceFaults(this, { cutBeforeRun: 1 });
});

When("the services refuse the next request", async function(this: ScenarioWorld) {
    await setServiceFaults(this, { refusals: 1 });
});

When("the services send the next response with another request's identifier", async function(this: ScenarioWorld) {
    await setServiceFaults(this, { crossedAnswers: 1 });
});

When(
    "the services reset the next response, without a length, with its first bytes",
    async function(this: ScenarioWorld) {
        await setServiceFaults(this, { unframedResets: 1 });
    },
);

When("the services send the next response without a length", async function(this: ScenarioWorld) {
    await setServiceFaults(this, { unframedResponses: 1 });
});

When("the services take {int} ms to respond", async function(this: ScenarioWorld, delayMilliseconds: number) {
    await setServiceFaults(this, { delayMilliseconds });
});

When("the platform's fault {string} is set", async function(this: ScenarioWorld, name: string) {
    await setFaults(this.fleet.platform, { [name]: true });
});

When("the engines' fault {string} is set to {int}", async function(this: ScenarioWorld, name: string, value: number) {
    const faults = name === "overlap" ? { overlap: value, cutStreams: 2 } : { [name]: value };
    await Promise.all(this.fleet.engines.map(engine => setFaults(engine.address, faults)));
});

When("the engines' open connections stop responding", async function(this: ScenarioWorld) {
    await Promise.all(this.fleet.engines.map(engine => setFaults(engine.address, { isSilent: true })));
});

When("{int} ms of real time pass", async function(milliseconds: number) {
    await waitMilliseconds(milliseconds);
});

When(
    /^the (gateway|agent) of instance (\d+) gets (SIGKILL|SIGSTOP|SIGCONT|SIGTERM)$/,
    function(this: ScenarioWorld, processName: "gateway" | "agent", instance: string, signal: NodeJS.Signals) {
        this.getInstance(Number(instance))[processName].sendSignal(signal);
    },
);

When(/^all (services|engines) are killed$/, async function(this: ScenarioWorld, kind: "services" | "engines") {
    for (const target of this.fleet[kind]) {
        target.child.sendSignal("SIGKILL");
        await target.child.waitForExit();
    }
});

When("every engine that holds a request is killed", async function(this: ScenarioWorld) {
    for (const engine of this.fleet.engines) {
        if ((await fetchEngineState(engine.address)).held > 0) {
            engine.child.sendSignal("SIGKILL");
            await engine.child.waitForExit();
        }
    }
});

/** Sends a stamp request, which a service may run at most once for each key. */
function sendStamp(world: ScenarioWorld, options: { key: string; instance: number; }): Promise<HttpResult> {
    const headers = { "idempotency-key": options.key };
    return world.call(options.instance, {
        method: "POST",
        path: "/services/ledger/stamps",
        headers,
        body: "certificate",
    });
}

When(
    "a caller starts to post a stamp with the key {string} through instance {int}",
    function(this: ScenarioWorld, key: string, instance: number) {
        this.pendingStamp = sendStamp(this, { key, instance }).catch(() => undefined);
    },
);

When("the stamp that was started has ended", async function(this: ScenarioWorld) {
    this.results.push(await this.pendingStamp ?? createEmptyResult());
});

When("the stamp has ended", async function(this: ScenarioWorld) {
    await this.pendingStamp;
});

When("{int} stamps are posted through all instances, each key twice", function(this: ScenarioWorld, count: number) {
    const { length } = this.fleet.instances;
    for (let number = 0; number < count; number += 1) {
        const key = `k-${Math.floor(number / 2)}`;
        this.pendingCalls.push(
            sendStamp(this, { key, instance: number % length + 1 }).catch(() => createEmptyResult()),
        );
    }
});

/** Builds the result of a call without a response, because its gateway was stopped or killed. */
function createEmptyResult(): HttpResult {
    return { status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false };
}

When("the services have started {int} stamp(s)", async function(this: ScenarioWorld, count: number) {
    await waitUntil(async () => (await countStamps(this)) >= count, { label: "the start of the stamps" });
});

When("tokens have been produced", async function(this: ScenarioWorld) {
    await waitUntil(async () => {
        const states = await Promise.all(this.fleet.engines.map(engine => fetchEngineState(engine.address)));
        return states.some(state =>
            state.generations.some(generation => generation.tokens > STARTED_GENERATION_TOKENS)
        );
    }, { label: "the first tokens of a generation" });
});

When("all stamp requests have ended", async function(this: ScenarioWorld) {
    this.results = await Promise.all(this.pendingCalls);
});

Then("the services ran no key twice", async function(this: ScenarioWorld) {
    const states = await Promise.all(
        this.fleet.services.map(service => callHttp({ address: service.address, path: "/state" })),
    );
    const keys = states.flatMap(state =>
        (JSON.parse(state.body.toString()) as { runs: { key: string; }[]; }).runs.map(run => run.key)
    );
    assert.equal(new Set(keys).size, keys.length);
    assert.ok(keys.length > 0, "the services ran no stamp");
});

When(
    "a caller sends a GET request to a service through instance {int}",
    async function(this: ScenarioWorld, instance: number) {
        this.results.push(await this.call(instance, { path: "/services/ledger/charges/1" }));
    },
);

When(
    "a caller requests a generation with a deadline of {int} ms through instance {int}",
    async function(this: ScenarioWorld, deadline: number, instance: number) {
        const startedAt = performance.now();
        const headers = { "x-deadline-milliseconds": String(deadline) };
        const body = buildGenerationBody(10, { isStream: false });
        this.results.push(await this.call(instance, { method: "POST", path: "/v1/completions", headers, body }));
        this.elapsedMilliseconds = performance.now() - startedAt;
    },
);

interface ErrorBody {
    error: { code: string; verdict: string; };
}

function readError(world: ScenarioWorld): ErrorBody["error"] {
    return (JSON.parse(world.lastResult.body.toString()) as ErrorBody).error;
}

Then(
    "the response has the error {string} and the verdict {string}",
    function(this: ScenarioWorld, code: string, verdict: string) {
        const { code: actualCode, verdict: actualVerdict } = readError(this);
        assert.deepEqual(
            { code: actualCode, verdict: actualVerdict },
            { code, verdict },
            this.lastResult.body.toString(),
        );
    },
);

Then("the response has the verdict {string}", function(this: ScenarioWorld, verdict: string) {
    assert.equal(readError(this).verdict, verdict);
});

Then("the response says when to retry", function(this: ScenarioWorld) {
    assert.match(this.lastResult.headers["retry-after"] ?? "", /^[1-9]\d*$/);
});

Then("the response has the status {int}", function(this: ScenarioWorld, status: number) {
    assert.equal(this.lastResult.status, status, this.lastResult.body.toString());
});

Then("the response holds {string} and is unframed", function(this: ScenarioWorld, text: string) {
    const { body, headers, isComplete } = this.lastResult;
    assert.equal(body.toString(), text);
    assert.equal(isComplete, true);
    assert.equal(headers["content-length"], undefined);
    assert.equal(headers["transfer-encoding"], undefined);
});

Then("the response came within {int} ms", function(this: ScenarioWorld, milliseconds: number) {
    assert.ok(this.elapsedMilliseconds <= milliseconds, `the response took ${this.elapsedMilliseconds} ms`);
});

When(
    "a caller starts to stream a generation of {int} tokens through instance {int}",
    function(this: ScenarioWorld, tokens: number, instance: number) {
        const body = buildGenerationBody(tokens, { isStream: true });
        this.pendingCalls.push(this.call(instance, { method: "POST", path: "/v1/completions", body }));
    },
);

When(
    "a caller starts a non-streamed narrative of {int} tokens through instance {int}",
    function(this: ScenarioWorld, tokens: number, instance: number) {
        const headers = { "x-kind": "narrative-whole" };
        const body = buildGenerationBody(tokens, { isStream: false });
        this.pendingCalls.push(this.call(instance, { method: "POST", path: "/v1/completions", headers, body }));
    },
);

When(
    "{int} callers start non-streamed narratives of {int} tokens through instance {int}",
    function(this: ScenarioWorld, callers: number, tokens: number, instance: number) {
        const headers = { "x-kind": "narrative-whole" };
        for (let caller = 0; caller < callers; caller += 1) {
            const body = buildGenerationBody(tokens, { isStream: false, prompt: `Charge ${caller}` });
            this.pendingCalls.push(this.call(instance, { method: "POST", path: "/v1/completions", headers, body }));
        }
    },
);

When("an engine holds {int} requests", async function(this: ScenarioWorld, count: number) {
    await waitUntil(async () => {
        const states = await Promise.all(this.fleet.engines.map(engine => fetchEngineState(engine.address)));
        return states.some(state => state.held >= count);
    }, { label: `an engine that holds ${count} requests` });
});

When("the engine that holds the most requests is killed", async function(this: ScenarioWorld) {
    const states = await Promise.all(this.fleet.engines.map(engine => fetchEngineState(engine.address)));
    const greatest = Math.max(...states.map(state => state.held));
    const busiest = this.fleet.engines[states.findIndex(state => state.held === greatest)];
    busiest?.child.sendSignal("SIGKILL");
    await busiest?.child.waitForExit();
});

Then("every response holds {int} tokens", function(this: ScenarioWorld, tokens: number) {
    const counts = this.results.map(result => {
        const response = JSON.parse(result.body.toString()) as { choices?: { text: string; }[]; };
        return response.choices?.[0]?.text.trim().split(" ").length ?? 0;
    });
    assert.deepEqual(counts, this.results.map(() => tokens));
});

When(
    "a caller starts a non-streamed narrative of {int} tokens with a deadline of {int} ms through instance {int}",
    function(this: ScenarioWorld, tokens: number, deadline: number, instance: number) {
        const headers = { "x-kind": "narrative-whole", "x-deadline-milliseconds": String(deadline) };
        const body = buildGenerationBody(tokens, { isStream: false });
        this.pendingCalls.push(this.call(instance, { method: "POST", path: "/v1/completions", headers, body }));
    },
);

When(
    "a caller requests a generation of the kind {string} through instance {int}",
    async function(this: ScenarioWorld, kind: string, instance: number) {
        const startedAt = performance.now();
        const body = buildGenerationBody(10, { isStream: false });
        this.results.push(
            await this.call(instance, { method: "POST", path: "/v1/completions", headers: { "x-kind": kind }, body }),
        );
        this.elapsedMilliseconds = performance.now() - startedAt;
        this.pendingCalls.forEach(call => void call.catch(() => undefined));
    },
);

When("the streams have ended", async function(this: ScenarioWorld) {
    this.results.push(...await Promise.all(this.pendingCalls));
});

Then(
    "the caller has received part of one generation and the error {string}",
    function(this: ScenarioWorld, code: string) {
        const stream = parseStream(this.lastResult.body);
        assert.equal(stream.errorCode, code);
        assert.equal(stream.isDone, false);
        assert.ok(stream.indices.length > 0);
        assert.deepEqual(stream.indices, stream.indices.map((_unused, index) => index));
        assert.equal(new Set(stream.generations).size, 1);
    },
);

When("the caller resumes its stream through instance {int}", async function(this: ScenarioWorld, instance: number) {
    const { lastEventId } = parseStream(this.lastResult.body);
    this.results.push(await this.call(instance, { path: "/v1/events", headers: { "last-event-id": lastEventId } }));
});

Then(
    "the two streams together hold {int} tokens of one generation in order",
    function(this: ScenarioWorld, tokens: number) {
        const [first, second] = this.results.slice(-2).map(result => parseStream(result.body));
        const indices = [...first?.indices ?? [], ...second?.indices ?? []];
        assert.deepEqual(indices, Array.from({ length: tokens }, (_unused, index) => index));
        assert.equal(new Set([...first?.generations ?? [], ...second?.generations ?? []]).size, 1);
        assert.equal(second?.isDone, true);
    },
);

When(
    "{int} callers stream generations of {int} tokens each concurrently",
    async function(this: ScenarioWorld, callers: number, tokens: number) {
        const body = buildGenerationBody(tokens, { isStream: true });
        const calls = Array.from(
            { length: callers },
            () => this.call(1, { method: "POST", path: "/v1/completions", body }),
        );
        this.results = await Promise.all(calls);
    },
);

Then(
    "every caller has received {int} tokens of one generation in order",
    function(this: ScenarioWorld, tokens: number) {
        for (const result of this.results) {
            const stream = parseStream(result.body);
            assert.deepEqual(stream.indices, Array.from({ length: tokens }, (_unused, index) => index));
            assert.equal(new Set(stream.generations).size, 1);
            assert.equal(stream.isDone, true);
        }
    },
);

Then("at least one engine has preempted a sequence", async function(this: ScenarioWorld) {
    const states = await Promise.all(this.fleet.engines.map(engine => fetchEngineState(engine.address)));
    assert.ok(states.some(state => state.preemptions > 0), "no engine has preempted a sequence");
});

When("all calls have ended", async function(this: ScenarioWorld) {
    this.results = await Promise.all(this.pendingCalls);
});

/** Number of streams that the scenario starts before its stamps, and whose results therefore come first. */
const STREAM_COUNT = 2;

// A repeat of a key whose stamp still runs gets the outcome that the service recorded (201) or a conflict (409).
Then("every stamp got the status 201 or 409", function(this: ScenarioWorld) {
    const statuses = this.results.slice(STREAM_COUNT).map(result => result.status);
    assert.deepEqual(statuses.filter(status => ![201, 409].includes(status)), []);
});

Then("both streams hold {int} tokens", function(this: ScenarioWorld, tokens: number) {
    for (const result of this.results.slice(0, STREAM_COUNT)) {
        assert.equal(parseStream(result.body).indices.length, tokens);
    }
});

Then("no engine held more than {int} requests while cold", async function(this: ScenarioWorld, limit: number) {
    for (const engine of this.fleet.engines) {
        const { greatestCold } = await fetchEngineState(engine.address);
        assert.ok(greatestCold <= limit, `the engine held ${greatestCold} requests while cold`);
    }
});

Then("no engine crashed from overload", async function(this: ScenarioWorld) {
    for (const engine of this.fleet.engines) {
        assert.equal((await fetchEngineState(engine.address)).falls, 0);
    }
});

When(
    /^(zone|batch) "([^"]*)" is withdrawn by the operators' command$/,
    async function(this: ScenarioWorld, field: string, name: string) {
        const platform = new KeyValueStore({ address: parseAddress(this.fleet.platform) });
        const rule = { kind: "withdraw" as const, selector: { [field]: name } };
        const result = await applyRuleEdit(platform, { edit: rule, author: "scenario" });
        assert.equal(result.kind, "accepted");
    },
);

Then(
    "engine {int} started no generation in the last {int} ms",
    async function(this: ScenarioWorld, engine: number, _milliseconds: number) {
        const state = await fetchEngineState(this.fleet.engines[engine - 1]?.address ?? "");
        const earlierIds = new Set(this.earlierGenerationIds[engine - 1]);
        assert.deepEqual(state.generations.filter(each => !earlierIds.has(each.id)), []);
        const others = await Promise.all(this.fleet.engines.map(each => fetchEngineState(each.address)));
        assert.ok(
            others.some((each, index) => each.generations.length > (this.earlierGenerationIds[index]?.length ?? 0)),
            "no engine started a generation",
        );
    },
);

Then(
    "every instance has configuration generation {int} in force",
    async function(this: ScenarioWorld, generation: number) {
        for (const instance of this.fleet.instances) {
            const dump = await callHttp({ address: instance.gatewayAdmin, path: "/dump" });
            const state = JSON.parse(dump.body.toString()) as { routing: { generation: number; }; };
            assert.equal(state.routing.generation, generation);
        }
    },
);

function sendStopSignal(world: ScenarioWorld, number: number): void {
    const instance = world.getInstance(number);
    instance.gateway.sendSignal("SIGTERM");
    instance.agent.sendSignal("SIGTERM");
}

When("instance {int} gets SIGTERM", function(this: ScenarioWorld, number: number) {
    sendStopSignal(this, number);
});

When(
    "instance {int} gets SIGTERM {int} times at intervals of {int} ms",
    async function(this: ScenarioWorld, number: number, times: number, milliseconds: number) {
        for (let count = 0; count < times; count += 1) {
            await waitMilliseconds(count === 0 ? 0 : milliseconds);
            sendStopSignal(this, number);
        }
    },
);

Then("the stamp got the status {int}", async function(this: ScenarioWorld, status: number) {
    assert.equal((await this.pendingStamp)?.status, status);
});

Then("the processes of instance {int} have exited with code 0", async function(this: ScenarioWorld, number: number) {
    const instance = this.getInstance(number);
    await waitUntil(() => !instance.gateway.isRunning() && !instance.agent.isRunning(), {
        label: "the exit of the processes",
    });
    assert.equal(await instance.gateway.waitForExit(), 0);
    assert.equal(await instance.agent.waitForExit(), 0);
});
