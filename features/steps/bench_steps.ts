/**
 * Steps that run real agent cores on a simulated network and platform in virtual time.
 *
 * A node of the bench simulates one instance: it holds the instance's agent core and a simple gateway.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { SimulatedNode } from "../../support/simulation/mod.ts";
import { BENCH_MAX_COLD_REQUESTS, BenchWorld } from "../support/bench_world.ts";
import { checkFaultSequences } from "../support/fault_commands.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";

/** Time after its acceptance by which a configuration must be in force, in milliseconds. */
const CONFIGURATION_DEADLINE_MILLISECONDS = 3000;
/** Time that loading a model takes, in milliseconds. It is long, so that faults happen during loads. */
const MODEL_LOAD_MILLISECONDS = 15_000;

Given(
    "{int} instances and {int} engines with seed {int}",
    function(this: ScenarioWorld, nodes: number, engines: number, seed: number) {
        this.benchWorld = new BenchWorld({ nodes, engines, seed });
    },
);

Given(
    "{int} instances and {int} engines with seed {int}, and engines that stay cold for {int} s",
    function(this: ScenarioWorld, nodes: number, engines: number, seed: number, seconds: number) {
        this.benchWorld = new BenchWorld({ nodes, engines, seed, coldMilliseconds: seconds * 1000 });
    },
);

Given(
    /^(\d+) instances, and (\d+) engines without models that (check|ignore) fencing tokens, with seed (\d+)$/,
    function(this: ScenarioWorld, nodes: string, engines: string, checks: string, seed: string) {
        const targetOptions = {
            models: [],
            checksFencing: checks === "check",
            loadMilliseconds: MODEL_LOAD_MILLISECONDS,
        };
        this.benchWorld = new BenchWorld({
            nodes: Number(nodes),
            engines: Number(engines),
            seed: Number(seed),
            targetOptions,
        });
    },
);

Then("every engine has loaded its models", function(this: ScenarioWorld) {
    for (const target of this.benchWorld.inventory.targets) {
        const held = this.benchWorld.bench.targets.get(target.address)?.models;
        assert.deepEqual([...held ?? []], target.models, target.name);
    }
});

Then("no engine accepted an order with an outdated or reused fencing token", function(this: ScenarioWorld) {
    for (const target of this.benchWorld.bench.targets.values()) {
        assert.equal(target.staleOrders, 0);
    }
});

Then("at most {int} model loads ran at the same time", function(this: ScenarioWorld, count: number) {
    assert.ok(this.benchWorld.bench.peakLoads <= count, `${this.benchWorld.bench.peakLoads} model loads ran`);
});

When("the instances with requests on engine {int} are killed", function(this: ScenarioWorld, engine: number) {
    const target = `engine-${engine}`;
    const holders = this.benchWorld.bench.nodes.filter(node =>
        [...node.requestsByPermit.values()].some(work => work.target === target)
    );
    assert.ok(holders.length > 0, "no instance has a request on the engine");
    holders.forEach(node => this.benchWorld.bench.stopNode(node));
});

When("{int} ms pass", function(this: ScenarioWorld, milliseconds: number) {
    this.benchWorld.bench.runFor(milliseconds);
});

/** Faults and other actions on an instance, by their names in the scenarios. */
const NODE_ACTIONS: Record<string, (world: BenchWorld, node: SimulatedNode) => void> = {
    "killed": (world, node) => world.bench.stopNode(node),
    "started": (world, node) => world.bench.startNode(node),
    "paused": (world, node) => world.bench.pauseNode(node),
    "resumed": (world, node) => world.bench.resumeNode(node),
    "cut off from its peers": (world, node) => world.bench.network.setPartition(node.id, 1),
    "cut off from the platform": (world, node) => void world.bench.platform.disconnectedNodes.add(node.id),
    "cut off from peers and platform": (world, node) => {
        world.bench.network.setPartition(node.id, 1);
        world.bench.platform.disconnectedNodes.add(node.id);
    },
    "left running": () => undefined,
    "told to leave": (world, node) => world.bench.handleEvent(node, { kind: "leave" }),
};

function applyNodeAction(world: BenchWorld, node: SimulatedNode, action: string): void {
    const act = NODE_ACTIONS[action];
    if (act === undefined) {
        throw new Error(`Cannot run the step: no action on an instance is named "${action}".`);
    }
    act(world, node);
}

When(/^instance(?:s)? ([\d,]+) (?:is|are) (.+)$/, function(this: ScenarioWorld, numbers: string, action: string) {
    this.benchWorld.listNodes(numbers).forEach(node => applyNodeAction(this.benchWorld, node, action));
});

When(/^the owner of engine (\d+) is (.+)$/, function(this: ScenarioWorld, engine: string, action: string) {
    applyNodeAction(this.benchWorld, this.benchWorld.findEngineOwner(Number(engine)), action);
});

When(/^the shard owner of the key "([^"]*)" is (.+)$/, function(this: ScenarioWorld, key: string, action: string) {
    applyNodeAction(this.benchWorld, this.benchWorld.findShardOwner(key), action);
});

/** States of the platform, by their names in the scenarios. */
const PLATFORM_ACTIONS: Record<string, (world: BenchWorld) => void> = {
    "works": world => {
        Object.assign(world.bench.platform, { isDown: false, lostShare: 0, maxDelay: 8, isStale: false });
    },
    "is down": world => void (world.bench.platform.isDown = true),
    "is slow": world => void (world.bench.platform.maxDelay = 1500),
    "loses every response to a write": world => void (world.bench.platform.lostShare = 1),
    "serves stale reads": world => void (world.bench.platform.isStale = true),
};

When(
    /^the platform (works|is down|is slow|loses every response to a write|serves stale reads)$/,
    function(this: ScenarioWorld, action: string) {
        PLATFORM_ACTIONS[action]?.(this.benchWorld);
    },
);

When("all connections are restored", function(this: ScenarioWorld) {
    this.benchWorld.bench.network.removePartitions();
    this.benchWorld.bench.platform.disconnectedNodes.clear();
});

When(
    "links delay messages by up to {int} ms and lose {int} percent",
    function(this: ScenarioWorld, delay: number, lostPercent: number) {
        this.benchWorld.bench.network.maxDelay = delay;
        this.benchWorld.bench.network.dropProbability = lostPercent / 100;
    },
);

When("instance {int} claims the key {string}", function(this: ScenarioWorld, instance: number, key: string) {
    this.benchWorld.bench.requestClaim(this.benchWorld.getNode(instance), key);
});

When("every live instance claims the key {string}", function(this: ScenarioWorld, key: string) {
    this.benchWorld.bench.nodes.filter(node => node.isUp).forEach(node =>
        this.benchWorld.bench.requestClaim(node, key)
    );
});

When(
    "every instance sends {int} request(s) of {int} ms to engine {int}",
    function(this: ScenarioWorld, count: number, duration: number, engine: number) {
        for (const node of this.benchWorld.bench.nodes) {
            for (let sent = 0; sent < count; sent += 1) {
                this.benchWorld.bench.requestPermit(node, { target: `engine-${engine}`, duration });
            }
        }
    },
);

When(
    "every instance but the owner sends 1 request of {int} ms to engine {int}",
    function(this: ScenarioWorld, duration: number, engine: number) {
        const owner = this.benchWorld.findEngineOwner(engine);
        for (const node of this.benchWorld.bench.nodes.filter(each => each !== owner)) {
            this.benchWorld.bench.requestPermit(node, { target: `engine-${engine}`, duration });
        }
    },
);

When(
    "every instance sends {int} request(s) to every engine every {int} ms for {int} ms",
    function(this: ScenarioWorld, count: number, interval: number, milliseconds: number) {
        const { bench } = this.benchWorld;
        for (let at = 0; at < milliseconds; at += interval) {
            for (const target of this.benchWorld.inventory.targets) {
                for (const node of bench.nodes) {
                    for (let sent = 0; sent < count; sent += 1) {
                        bench.requestPermit(node, { target: target.name, duration: interval });
                    }
                }
            }
            bench.runFor(interval);
        }
    },
);

When("engine {int} restarts", function(this: ScenarioWorld, engine: number) {
    this.benchWorld.bench.restartTarget(`10.0.0.${engine}:80`);
});

When("engine {int} returns no load reports", function(this: ScenarioWorld, engine: number) {
    this.benchWorld.getEngine(engine).suppressesReports = true;
});

When(
    /^the (zone|batch|target|instance) "([^"]*)" is withdrawn$/,
    function(this: ScenarioWorld, selector: string, name: string) {
        this.benchWorld.applyRule({ name: `withdraw-${name}`, action: "withdraw", [selector]: name });
    },
);

When("the withdrawal of the zone {string} is revoked", function(this: ScenarioWorld, zone: string) {
    this.benchWorld.rules = this.benchWorld.rules.filter(rule => rule.zone !== zone);
    this.benchWorld.applyRules();
});

When("the platform lists {string} as leaving", function(this: ScenarioWorld, name: string) {
    const leaving = { id: name, address: "", zone: "", role: "target" as const, isLeaving: true };
    this.benchWorld.bench.platform.store.instances.push(leaving);
    this.benchWorld.acceptedAt = this.benchWorld.bench.now;
});

When(
    "the holder of the key {string} settles it, and {int} ms later every live instance claims it",
    function(this: ScenarioWorld, key: string, milliseconds: number) {
        const { bench } = this.benchWorld;
        const dispatch = bench.dispatches.find(each => each.key === key);
        const holder = bench.nodes.find(node => node.keysByHolder.has(dispatch?.holder ?? ""));
        assert.ok(dispatch !== undefined && holder !== undefined, "no instance holds the claim on the key");
        const outcome = { status: 201, headers: {}, body: "" };
        bench.sendFromGateway(holder, { kind: "settle", key, holder: dispatch.holder, outcome });
        bench.runFor(milliseconds);
        bench.nodes.filter(node => node.isUp).forEach(node => bench.requestClaim(node, key));
    },
);

Then("every repeated claim of the key {string} was answered", function(this: ScenarioWorld, key: string) {
    const { bench } = this.benchWorld;
    const first = bench.dispatches.find(dispatch => dispatch.key === key)?.holder;
    const results = bench.nodes.flatMap(node =>
        [...node.keysByHolder].flatMap((
            [holder, each],
        ) => (each === key && holder !== first ? [node.claimResults.get(holder)] : []))
    );
    assert.deepEqual(results, results.map(() => "answered"));
    assert.ok(results.length > 0, "no instance repeated the claim");
});

Then("the key {string} was dispatched {int} time(s)", function(this: ScenarioWorld, key: string, count: number) {
    assert.equal(this.benchWorld.bench.dispatches.filter(dispatch => dispatch.key === key).length, count);
});

Then("the key {string} was dispatched at most once", function(this: ScenarioWorld, key: string) {
    const { length } = this.benchWorld.bench.dispatches.filter(dispatch => dispatch.key === key);
    assert.ok(length <= 1, `the key "${key}" was dispatched ${length} times`);
});

Then("no guarantee was violated", function(this: ScenarioWorld) {
    assert.deepEqual(this.benchWorld.bench.violations, []);
});

Then("engine {int} never exceeded its cold-start limit", function(this: ScenarioWorld, engine: number) {
    const { peakColdRequests: greatestCold } = this.benchWorld.getEngine(engine);
    assert.ok(greatestCold <= BENCH_MAX_COLD_REQUESTS, `it held ${greatestCold} requests while cold`);
});

Then("engine {int} started at least {int} request(s)", function(this: ScenarioWorld, engine: number, count: number) {
    const { startedRequests: starts } = this.benchWorld.getEngine(engine);
    assert.ok(starts >= count, `it started ${starts} requests`);
});

Then(
    "every live instance has configuration generation {int} in force",
    function(this: ScenarioWorld, generation: number) {
        const nodes = this.benchWorld.bench.nodes.filter(node => node.isUp && node.deferredEvents === undefined);
        assert.deepEqual(
            nodes.map(node => `${node.id} ${node.generation}`),
            nodes.map(node => `${node.id} ${generation}`),
        );
    },
);

Then(
    "instance {int} has configuration generation {int} in force",
    function(this: ScenarioWorld, instance: number, generation: number) {
        assert.equal(this.benchWorld.getNode(instance).generation, generation);
    },
);

Then(/^instance (\d+) (serves|does not serve)$/, function(this: ScenarioWorld, instance: string, state: string) {
    assert.equal(this.benchWorld.getNode(Number(instance)).isServing, state === "serves");
});

Then(
    /^no engine of (zone|batch|target|instance) "([^"]*)" started a request after the change was due to be in force$/,
    function(this: ScenarioWorld, selector: "zone" | "batch" | "target" | "instance", name: string) {
        const field = selector === "target" ? "name" : selector;
        for (const target of this.benchWorld.inventory.targets.filter(each => each[field] === name)) {
            const startDelay = (this.benchWorld.bench.targets.get(target.address)?.lastRequestStartedAt ?? 0)
                - this.benchWorld.acceptedAt;
            assert.ok(
                startDelay <= CONFIGURATION_DEADLINE_MILLISECONDS,
                `${target.name} started a request ${startDelay} ms after the change was accepted`,
            );
        }
    },
);

Then(/^every engine of (zone|batch) "([^"]*)" started a request in the last (\d+) ms$/, function(
    this: ScenarioWorld,
    selector: "zone" | "batch",
    name: string,
    milliseconds: string,
) {
    for (const target of this.benchWorld.inventory.targets.filter(each => each[selector] === name)) {
        const age = this.benchWorld.bench.now
            - (this.benchWorld.bench.targets.get(target.address)?.lastRequestStartedAt ?? 0);
        assert.ok(age <= Number(milliseconds), `${target.name} started its last request ${age} ms ago`);
    }
});

Then(
    "{int} random fault sequences from seed {int} violate no guarantee",
    { timeout: 300_000 },
    function(runs: number, seed: number) {
        checkFaultSequences({ seed, runs });
    },
);
