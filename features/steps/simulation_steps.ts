/**
 * Steps that run real agent cores on a simulated network and platform in virtual time.
 *
 * A node of the simulation is one instance: it holds the instance's agent core and a simple gateway.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { SimulatedNode } from "../../support/simulation/mod.ts";
import { checkFaultSequences } from "../support/fault_commands.ts";
import type { ScenarioWorld } from "../support/scenario_world.ts";
import { MAX_COLD_REQUESTS, SimulatedFleet } from "../support/simulated_fleet.ts";

/** Time after its acceptance by which a configuration must be in force, in milliseconds. */
const CONFIGURATION_DEADLINE_MILLISECONDS = 3000;
/** Time that loading a model takes, in milliseconds. It is long, so that faults happen during loads. */
const MODEL_LOAD_MILLISECONDS = 15_000;

Given(
    "{int} instances and {int} engines with seed {int}",
    function(this: ScenarioWorld, nodes: number, engines: number, seed: number) {
        this.simulatedFleet = new SimulatedFleet({ nodes, engines, seed });
    },
);

Given(
    "{int} instances and {int} engines with seed {int}, and engines that stay cold for {int} s",
    function(this: ScenarioWorld, nodes: number, engines: number, seed: number, seconds: number) {
        this.simulatedFleet = new SimulatedFleet({ nodes, engines, seed, coldMilliseconds: seconds * 1000 });
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
        this.simulatedFleet = new SimulatedFleet({
            nodes: Number(nodes),
            engines: Number(engines),
            seed: Number(seed),
            targetOptions,
        });
    },
);

Then("every engine has loaded its models", function(this: ScenarioWorld) {
    for (const target of this.simulatedFleet.inventory.targets) {
        const held = this.simulatedFleet.simulation.targets.get(target.address)?.models;
        assert.deepEqual([...held ?? []], target.models, target.name);
    }
});

Then("no engine accepted an order with an outdated or reused fencing token", function(this: ScenarioWorld) {
    for (const target of this.simulatedFleet.simulation.targets.values()) {
        assert.equal(target.staleOrders, 0);
    }
});

Then("at most {int} model loads ran at the same time", function(this: ScenarioWorld, count: number) {
    assert.ok(
        this.simulatedFleet.simulation.peakModelLoads <= count,
        `${this.simulatedFleet.simulation.peakModelLoads} model loads ran`,
    );
});

When("the instances with requests on engine {int} are killed", function(this: ScenarioWorld, engine: number) {
    const target = `engine-${engine}`;
    const holders = this.simulatedFleet.simulation.nodes.filter(node =>
        [...node.requestsByPermit.values()].some(work => work.target === target)
    );
    assert.ok(holders.length > 0, "no instance has a request on the engine");
    holders.forEach(node => this.simulatedFleet.simulation.stopNode(node));
});

When("{int} ms pass", function(this: ScenarioWorld, milliseconds: number) {
    this.simulatedFleet.simulation.runFor(milliseconds);
});

/** Faults and other actions on an instance, by their names in the scenarios. */
const NODE_ACTIONS: Record<string, (fleet: SimulatedFleet, node: SimulatedNode) => void> = {
    "killed": (fleet, node) => fleet.simulation.stopNode(node),
    "started": (fleet, node) => fleet.simulation.startNode(node),
    "paused": (fleet, node) => fleet.simulation.pauseNode(node),
    "resumed": (fleet, node) => fleet.simulation.resumeNode(node),
    "cut off from its peers": (fleet, node) => fleet.simulation.network.setPartition(node.id, 1),
    "cut off from the platform": (fleet, node) => void fleet.simulation.platform.disconnectedNodes.add(node.id),
    "cut off from peers and platform": (fleet, node) => {
        fleet.simulation.network.setPartition(node.id, 1);
        fleet.simulation.platform.disconnectedNodes.add(node.id);
    },
    "left running": () => undefined,
    "told to leave": (fleet, node) => fleet.simulation.handleEvent(node, { kind: "leave" }),
};

function applyNodeAction(fleet: SimulatedFleet, node: SimulatedNode, action: string): void {
    const act = NODE_ACTIONS[action];
    if (act === undefined) {
        throw new Error(`Cannot run the step: no action on an instance is named "${action}".`);
    }
    act(fleet, node);
}

When(/^instance(?:s)? ([\d,]+) (?:is|are) (.+)$/, function(this: ScenarioWorld, numbers: string, action: string) {
    this.simulatedFleet.listNodes(numbers).forEach(node => applyNodeAction(this.simulatedFleet, node, action));
});

When(/^the owner of engine (\d+) is (.+)$/, function(this: ScenarioWorld, engine: string, action: string) {
    applyNodeAction(this.simulatedFleet, this.simulatedFleet.findEngineOwner(Number(engine)), action);
});

When(/^the shard owner of the key "([^"]*)" is (.+)$/, function(this: ScenarioWorld, key: string, action: string) {
    applyNodeAction(this.simulatedFleet, this.simulatedFleet.findShardOwner(key), action);
});

/** States of the platform, by their names in the scenarios. */
const PLATFORM_ACTIONS: Record<string, (fleet: SimulatedFleet) => void> = {
    "works": fleet => {
        Object.assign(fleet.simulation.platform, { isDown: false, lostShare: 0, maxDelay: 8, isStale: false });
    },
    "is down": fleet => void (fleet.simulation.platform.isDown = true),
    "is slow": fleet => void (fleet.simulation.platform.maxDelay = 1500),
    "loses every response to a write": fleet => void (fleet.simulation.platform.lostShare = 1),
    "serves stale reads": fleet => void (fleet.simulation.platform.isStale = true),
};

When(
    /^the platform (works|is down|is slow|loses every response to a write|serves stale reads)$/,
    function(this: ScenarioWorld, action: string) {
        PLATFORM_ACTIONS[action]?.(this.simulatedFleet);
    },
);

When("all connections are restored", function(this: ScenarioWorld) {
    this.simulatedFleet.simulation.network.removePartitions();
    this.simulatedFleet.simulation.platform.disconnectedNodes.clear();
});

When(
    "links delay messages by up to {int} ms and lose {int} percent",
    function(this: ScenarioWorld, delay: number, lostPercent: number) {
        this.simulatedFleet.simulation.network.maxDelay = delay;
        this.simulatedFleet.simulation.network.dropProbability = lostPercent / 100;
    },
);

When("instance {int} claims the key {string}", function(this: ScenarioWorld, instance: number, key: string) {
    this.simulatedFleet.simulation.requestClaim(this.simulatedFleet.getNode(instance), key);
});

When("every live instance claims the key {string}", function(this: ScenarioWorld, key: string) {
    this.simulatedFleet.simulation.nodes.filter(node => node.isUp).forEach(node =>
        this.simulatedFleet.simulation.requestClaim(node, key)
    );
});

When(
    "every instance sends {int} request(s) of {int} ms to engine {int}",
    function(this: ScenarioWorld, count: number, duration: number, engine: number) {
        for (const node of this.simulatedFleet.simulation.nodes) {
            for (let sent = 0; sent < count; sent += 1) {
                this.simulatedFleet.simulation.requestPermit(node, { target: `engine-${engine}`, duration });
            }
        }
    },
);

When(
    "every instance but the owner sends 1 request of {int} ms to engine {int}",
    function(this: ScenarioWorld, duration: number, engine: number) {
        const owner = this.simulatedFleet.findEngineOwner(engine);
        for (const node of this.simulatedFleet.simulation.nodes.filter(each => each !== owner)) {
            this.simulatedFleet.simulation.requestPermit(node, { target: `engine-${engine}`, duration });
        }
    },
);

When(
    "every instance sends {int} request(s) to every engine every {int} ms for {int} ms",
    function(this: ScenarioWorld, count: number, interval: number, milliseconds: number) {
        const { simulation } = this.simulatedFleet;
        for (let at = 0; at < milliseconds; at += interval) {
            for (const target of this.simulatedFleet.inventory.targets) {
                for (const node of simulation.nodes) {
                    for (let sent = 0; sent < count; sent += 1) {
                        simulation.requestPermit(node, { target: target.name, duration: interval });
                    }
                }
            }
            simulation.runFor(interval);
        }
    },
);

When("engine {int} restarts", function(this: ScenarioWorld, engine: number) {
    this.simulatedFleet.simulation.restartTarget(`10.0.0.${engine}:80`);
});

When("engine {int} returns no load reports", function(this: ScenarioWorld, engine: number) {
    this.simulatedFleet.getEngine(engine).suppressesReports = true;
});

When(
    /^the (zone|batch|target|instance) "([^"]*)" is withdrawn$/,
    function(this: ScenarioWorld, selector: string, name: string) {
        this.simulatedFleet.applyRule({ name: `withdraw-${name}`, action: "withdraw", [selector]: name });
    },
);

When("the withdrawal of the zone {string} is revoked", function(this: ScenarioWorld, zone: string) {
    this.simulatedFleet.rules = this.simulatedFleet.rules.filter(rule => rule.zone !== zone);
    this.simulatedFleet.applyRules();
});

When("the platform lists {string} as leaving", function(this: ScenarioWorld, name: string) {
    const leaving = { id: name, address: "", zone: "", role: "target" as const, isLeaving: true };
    this.simulatedFleet.simulation.platform.store.instances.push(leaving);
    this.simulatedFleet.acceptedAt = this.simulatedFleet.simulation.now;
});

When(
    "the holder of the key {string} settles it, and {int} ms later every live instance claims it",
    function(this: ScenarioWorld, key: string, milliseconds: number) {
        const { simulation } = this.simulatedFleet;
        const dispatch = simulation.dispatches.find(each => each.key === key);
        const holder = simulation.nodes.find(node => node.keysByHolder.has(dispatch?.holder ?? ""));
        assert.ok(dispatch !== undefined && holder !== undefined, "no instance holds the claim on the key");
        const outcome = { status: 201, headers: {}, body: "" };
        simulation.sendFromGateway(holder, { kind: "settle", key, holder: dispatch.holder, outcome });
        simulation.runFor(milliseconds);
        simulation.nodes.filter(node => node.isUp).forEach(node => simulation.requestClaim(node, key));
    },
);

Then(
    "every repeated claim of the key {string} was answered with the outcome",
    function(this: ScenarioWorld, key: string) {
        const { simulation } = this.simulatedFleet;
        const first = simulation.dispatches.find(dispatch => dispatch.key === key)?.holder;
        const results = simulation.nodes.flatMap(node =>
            [...node.keysByHolder].flatMap((
                [holder, each],
            ) => (each === key && holder !== first ? [node.claimResults.get(holder)] : []))
        );
        assert.deepEqual(results, results.map(() => "answered"));
        assert.ok(results.length > 0, "no instance repeated the claim");
    },
);

Then("the key {string} was dispatched {int} time(s)", function(this: ScenarioWorld, key: string, count: number) {
    assert.equal(this.simulatedFleet.simulation.dispatches.filter(dispatch => dispatch.key === key).length, count);
});

Then("the key {string} was dispatched at most once", function(this: ScenarioWorld, key: string) {
    const { length } = this.simulatedFleet.simulation.dispatches.filter(dispatch => dispatch.key === key);
    assert.ok(length <= 1, `the key "${key}" was dispatched ${length} times`);
});

Then("no guarantee was violated", function(this: ScenarioWorld) {
    assert.deepEqual(this.simulatedFleet.simulation.violations, []);
});

Then("engine {int} never exceeded its cold-start limit", function(this: ScenarioWorld, engine: number) {
    const { peakColdRequests } = this.simulatedFleet.getEngine(engine);
    assert.ok(peakColdRequests <= MAX_COLD_REQUESTS, `it held ${peakColdRequests} requests while cold`);
});

Then("engine {int} started at least {int} request(s)", function(this: ScenarioWorld, engine: number, count: number) {
    const { startedRequests } = this.simulatedFleet.getEngine(engine);
    assert.ok(startedRequests >= count, `it started ${startedRequests} requests`);
});

Then(
    "every live instance has configuration generation {int} in force",
    function(this: ScenarioWorld, generation: number) {
        const nodes = this.simulatedFleet.simulation.nodes.filter(node =>
            node.isUp && node.deferredEvents === undefined
        );
        assert.deepEqual(
            nodes.map(node => `${node.id} ${node.generation}`),
            nodes.map(node => `${node.id} ${generation}`),
        );
    },
);

Then(
    "instance {int} has configuration generation {int} in force",
    function(this: ScenarioWorld, instance: number, generation: number) {
        assert.equal(this.simulatedFleet.getNode(instance).generation, generation);
    },
);

Then(/^instance (\d+) (serves|does not serve)$/, function(this: ScenarioWorld, instance: string, state: string) {
    assert.equal(this.simulatedFleet.getNode(Number(instance)).isServing, state === "serves");
});

Then(
    /^no engine of (zone|batch|target|instance) "([^"]*)" started a request after the change was due to be in force$/,
    function(this: ScenarioWorld, selector: "zone" | "batch" | "target" | "instance", name: string) {
        const field = selector === "target" ? "name" : selector;
        for (const target of this.simulatedFleet.inventory.targets.filter(each => each[field] === name)) {
            const startDelay = (this.simulatedFleet.simulation.targets.get(target.address)?.lastRequestStartedAt ?? 0)
                - this.simulatedFleet.acceptedAt;
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
    for (const target of this.simulatedFleet.inventory.targets.filter(each => each[selector] === name)) {
        const age = this.simulatedFleet.simulation.now
            - (this.simulatedFleet.simulation.targets.get(target.address)?.lastRequestStartedAt ?? 0);
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
