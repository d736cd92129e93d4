/**
 * Steps that put load on a fleet of gateway, agent, engine and service processes.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitMilliseconds } from "../../network/mod.ts";
import { callHttp, type HttpResult, setFaults } from "../../support/processes/mod.ts";
import { fetchEngineState } from "../support/engine_state.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";
import { parseStream } from "../support/sse.ts";
import { buildGenerationBody } from "./caller_steps.ts";

interface CheckedCall {
    call: Promise<HttpResult | undefined>;
    check: (result: HttpResult) => void;
}

/**
 * Starts request `number` of a mix of GET requests, POST requests with an idempotency key, and generations.
 *
 * Some of the generations are cancelled.
 *
 * @returns The call, which resolves to `undefined` if it is cancelled, and the check that its response must pass.
 */
function startMixedRequest(world: ScenarioWorld, number: number): CheckedCall {
    const instance = number % world.fleet.instances.length + 1;
    const kind = number % 4;
    if (kind === 0) {
        const path = `/services/ledger/charges/${number}`;
        const check = (result: HttpResult): void =>
            assert.match(result.body.toString(), new RegExp(`/charges/${number}"`));
        return { call: world.call(instance, { path }), check };
    }
    if (kind === 1) {
        const body = Buffer.from(Array.from({ length: 3000 }, (_unused, index) => (index * 7 + number) % 256));
        const headers = { "idempotency-key": `mixed-${number}` };
        const check = (result: HttpResult): void =>
            assert.ok(result.body.equals(body), "the response has the body of another request");
        return {
            call: world.call(instance, { method: "POST", path: "/services/ledger/stamps", headers, body }),
            check,
        };
    }
    const tokens = 5 + number % 30;
    const body = buildGenerationBody(tokens, { isStream: true, prompt: `Charge ${number}` });
    const isCancelled = kind === 3 && number % 3 === 0;
    const signal = isCancelled ? AbortSignal.timeout(60 + number % 50) : undefined;
    const call = world.call(instance, {
        method: "POST",
        path: "/v1/completions",
        body,
        ...signal === undefined ? {} : { signal },
    });
    const check = (result: HttpResult): void => {
        const stream = parseStream(result.body);
        assert.deepEqual(stream.indices, Array.from({ length: tokens }, (_unused, index) => index));
        assert.equal(new Set(stream.generations).size, 1);
        assert.equal(new Set(stream.texts.map(text => text.split(".")[0])).size, 1);
    };
    return { call: isCancelled ? call.then(() => undefined, () => undefined) : call, check };
}

When(
    "{int} requests of all kinds are sent at once through all instances, and some of them are cancelled",
    async function(this: ScenarioWorld, count: number) {
        const checkedCalls = Array.from({ length: count }, (_unused, number) => startMixedRequest(this, number));
        this.failures = [];
        for (const { call, check } of checkedCalls) {
            const result = await call;
            if (result !== undefined) {
                try {
                    assert.ok(
                        result.status === 200 || result.status === 201,
                        `status ${result.status}: ${result.body.toString()}`,
                    );
                    check(result);
                }
                catch (error) {
                    this.failures.push(String(error));
                }
            }
        }
    },
);

Then("every response is complete and belongs to its request", function(this: ScenarioWorld) {
    assert.deepEqual(this.failures, []);
});

/** Requests short generations through all instances for `milliseconds`. */
async function runGenerations(world: ScenarioWorld, milliseconds: number): Promise<void> {
    const endAt = performance.now() + milliseconds;
    const workers = Array.from({ length: 24 }, async (_unused, worker) => {
        for (let number = 0; performance.now() < endAt; number += 1) {
            const body = buildGenerationBody(15, { isStream: false, prompt: `Soak ${worker}.${number}` });
            const instance = (worker + number) % world.fleet.instances.length + 1;
            await world.call(instance, { method: "POST", path: "/v1/completions", body }).catch(() => undefined);
        }
    });
    await Promise.all(workers);
}

When("generations are requested continuously for {int} ms", async function(this: ScenarioWorld, milliseconds: number) {
    this.earlierGenerationIds = [];
    const load = runGenerations(this, milliseconds);
    await waitMilliseconds(milliseconds - 3000);
    this.earlierGenerationIds = await Promise.all(
        this.fleet.engines.map(async engine =>
            (await fetchEngineState(engine.address)).generations.map(generation => generation.id)
        ),
    );
    await load;
});

When(
    "generations are requested continuously for {int} ms, and engine {int} turns cold after {int} ms",
    async function(this: ScenarioWorld, milliseconds: number, engine: number, coldAfterMilliseconds: number) {
        const load = runGenerations(this, milliseconds);
        await waitMilliseconds(coldAfterMilliseconds);
        await setFaults(this.fleet.engines[engine - 1]?.address ?? "", { turnCold: true });
        await load;
    },
);

/** Sends requests as a load balancer does: only to instances whose last readiness check succeeded. */
class BalancedLoad {
    readonly failures: string[] = [];
    responseCount = 0;
    readonly #world: ScenarioWorld;
    #readyInstances: number[] = [];
    #isStopped = false;

    constructor(world: ScenarioWorld) {
        this.#world = world;
    }

    async runLoad(): Promise<void> {
        const workers = Array.from({ length: 12 }, (_unused, worker) => this.#runWorker(worker));
        await Promise.all([this.#watchReadiness(), ...workers]);
    }

    stopLoad(): void {
        this.#isStopped = true;
    }

    async #watchReadiness(): Promise<void> {
        while (!this.#isStopped) {
            const states = await Promise.all(
                this.#world.fleet.instances.map(instance =>
                    callHttp({ address: instance.gatewayAdmin, path: "/ready" }).then(
                        result => result.status === 200,
                        () => false,
                    )
                ),
            );
            this.#readyInstances = states.flatMap((isReady, index) => (isReady ? [index + 1] : []));
            await waitMilliseconds(100);
        }
    }

    async #runWorker(worker: number): Promise<void> {
        for (let number = 0; !this.#isStopped; number += 1) {
            const instance = this.#readyInstances[(worker + number) % Math.max(1, this.#readyInstances.length)];
            if (instance === undefined) {
                await waitMilliseconds(20);
                continue;
            }
            await this.#makeRequest({ worker, number, instance });
        }
    }

    async #makeRequest(request: { worker: number; number: number; instance: number; }): Promise<void> {
        const { worker, number, instance } = request;
        const isStream = worker % 2 === 0;
        const tokens = isStream ? 150 : 10;
        const body = buildGenerationBody(tokens, { isStream, prompt: `Soak ${worker}.${number}` });
        try {
            const result = await this.#world.call(instance, { method: "POST", path: "/v1/completions", body });
            const isComplete = result.status === 200 && result.isComplete;
            const hasAllTokens = !isStream || parseStream(result.body).indices.length === tokens;
            if (!isComplete || !hasAllTokens) {
                this.failures.push(
                    `instance ${instance}: status ${result.status}: ${result.body.toString().slice(-300)}`,
                );
            }
            this.responseCount += 1;
        }
        catch (error) {
            // A refused connection carried no request: a load balancer would retry at the next instance.
            if ((error as NodeJS.ErrnoException).code !== "ECONNREFUSED") {
                this.failures.push(`instance ${instance}: ${String(error)}`);
            }
        }
    }
}

When("every instance is stopped and restarted in turn under load", async function(this: ScenarioWorld) {
    const load = new BalancedLoad(this);
    const loadEnd = load.runLoad();
    await waitMilliseconds(1000);
    for (const [index, instance] of this.fleet.instances.entries()) {
        instance.gateway.sendSignal("SIGTERM");
        instance.agent.sendSignal("SIGTERM");
        await Promise.all([instance.gateway.waitForExit(), instance.agent.waitForExit()]);
        await this.fleet.restartInstance(index);
        await waitMilliseconds(500);
    }
    load.stopLoad();
    await loadEnd;
    this.failures = load.failures;
    this.responseCount = load.responseCount;
});

Then("every request got a complete response", function(this: ScenarioWorld) {
    assert.deepEqual(this.failures, []);
    assert.ok(this.responseCount > 0, "no request was made");
});
