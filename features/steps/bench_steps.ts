/**
 * Steps of cores in virtual time.
 *
 * @module
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { BenchNode } from "../../support/bench/mod.ts";
import { BENCH_COLD_CONCURRENT, BenchWorld } from "../support/bench_world.ts";
import { checkFaultMixes } from "../support/fault_commands.ts";
import type { ProcessWorld } from "../support/process_world.ts";

/** Time in which an accepted configuration must be in force, in milliseconds. */
const IN_FORCE_MILLISECONDS = 3000;
/** Time that a load takes where targets take orders; long enough for faults to come between. */
const LOAD_MILLISECONDS = 15_000;

Given(
    "{int} instances and {int} engines with seed {int}",
    function(this: ProcessWorld, nodes: number, engines: number, seed: number) {
        this.bench = new BenchWorld({ nodes, engines, seed });
    },
);

Given(
    "{int} instances and {int} engines with seed {int}, and engines that stay cold for {int} s",
    function(this: ProcessWorld, nodes: number, engines: number, seed: number, seconds: number) {
        this.bench = new BenchWorld({ nodes, engines, seed, coldMilliseconds: seconds * 1000 });
    },
);

Given(
    /^(\d+) instances, and (\d+) engines without models that (check|ignore) fencing numbers, with seed (\d+)$/,
    function(this: ProcessWorld, nodes: string, engines: string, checks: string, seed: string) {
        const orders = { models: [], checksFencing: checks === "check", loadMilliseconds: LOAD_MILLISECONDS };
        this.bench = new BenchWorld({ nodes: Number(nodes), engines: Number(engines), seed: Number(seed), orders });
    },
);

Then("every engine holds its models", function(this: ProcessWorld) {
    for (const target of this.bench.inventory.targets) {
        const held = this.bench.bench.targets.get(target.address)?.models;
        assert.deepEqual([...held ?? []], target.models, target.name);
    }
});

Then("no engine followed an order older than one that it had seen", function(this: ProcessWorld) {
    for (const target of this.bench.bench.targets.values()) {
        assert.equal(target.oldOrders, 0);
    }
});

Then("at most {int} loads ran at one time", function(this: ProcessWorld, count: number) {
    assert.ok(this.bench.bench.greatestLoads <= count, `${this.bench.bench.greatestLoads} loads ran`);
});

When("the instances whose work engine {int} holds are killed", function(this: ProcessWorld, engine: number) {
    const target = `engine-${engine}`;
    const holders = this.bench.bench.nodes.filter(node => [...node.work.values()].some(work => work.target === target));
    assert.ok(holders.length > 0, "nobody holds work");
    holders.forEach(node => this.bench.bench.stopNode(node));
});

When("{int} ms pass", function(this: ProcessWorld, milliseconds: number) {
    this.bench.bench.runFor(milliseconds);
});

/** What can be done to an instance, by the word that the scenarios use. */
const NODE_ACTIONS: Record<string, (world: BenchWorld, node: BenchNode) => void> = {
    "killed": (world, node) => world.bench.stopNode(node),
    "started": (world, node) => world.bench.startNode(node),
    "paused": (world, node) => world.bench.pauseNode(node),
    "resumed": (world, node) => world.bench.resumeNode(node),
    "cut off from its peers": (world, node) => world.bench.link.setGroup(node.id, 1),
    "cut off from the platform": (world, node) => void world.bench.platform.unreachable.add(node.id),
    "cut off from all": (world, node) => {
        world.bench.link.setGroup(node.id, 1);
        world.bench.platform.unreachable.add(node.id);
    },
    "left alone": () => undefined,
    "told to leave": (world, node) => world.bench.handle(node, { kind: "leave" }),
};

function applyNodeAction(world: BenchWorld, node: BenchNode, action: string): void {
    const act = NODE_ACTIONS[action];
    if (act === undefined) {
        throw new Error(`Cannot go on: nothing is known as "${action}".`);
    }
    act(world, node);
}

When(/^instance(?:s)? ([\d,]+) (?:is|are) (.+)$/, function(this: ProcessWorld, numbers: string, action: string) {
    this.bench.listNodes(numbers).forEach(node => applyNodeAction(this.bench, node, action));
});

When(/^the owner of engine (\d+) is (.+)$/, function(this: ProcessWorld, engine: string, action: string) {
    applyNodeAction(this.bench, this.bench.findEngineOwner(Number(engine)), action);
});

When(/^the shard owner of "([^"]*)" is (.+)$/, function(this: ProcessWorld, key: string, action: string) {
    applyNodeAction(this.bench, this.bench.findShardOwner(key), action);
});

/** What can be done to the platform, by the words that the scenarios use. */
const PLATFORM_ACTIONS: Record<string, (world: BenchWorld) => void> = {
    "works": world => {
        Object.assign(world.bench.platform, { isDown: false, lostShare: 0, maxDelay: 8, isStale: false });
    },
    "is down": world => void (world.bench.platform.isDown = true),
    "is slow": world => void (world.bench.platform.maxDelay = 1500),
    "loses every answer to a change": world => void (world.bench.platform.lostShare = 1),
    "serves stale reads": world => void (world.bench.platform.isStale = true),
};

When(
    /^the platform (works|is down|is slow|loses every answer to a change|serves stale reads)$/,
    function(this: ProcessWorld, action: string) {
        PLATFORM_ACTIONS[action]?.(this.bench);
    },
);

When("all cuts are mended", function(this: ProcessWorld) {
    this.bench.bench.link.closeCuts();
    this.bench.bench.platform.unreachable.clear();
});

When(
    "links delay messages by up to {int} ms and lose {int} in 100",
    function(this: ProcessWorld, delay: number, lost: number) {
        this.bench.bench.link.maxDelay = delay;
        this.bench.bench.link.dropShare = lost / 100;
    },
);

When("instance {int} claims {string}", function(this: ProcessWorld, instance: number, key: string) {
    this.bench.bench.requestClaim(this.bench.getNode(instance), key);
});

When("every live instance claims {string}", function(this: ProcessWorld, key: string) {
    this.bench.bench.nodes.filter(node => node.isUp).forEach(node => this.bench.bench.requestClaim(node, key));
});

When(
    "every instance asks for {int} pieces of work of {int} ms at engine {int}",
    function(this: ProcessWorld, count: number, duration: number, engine: number) {
        for (const node of this.bench.bench.nodes) {
            for (let asked = 0; asked < count; asked += 1) {
                this.bench.bench.requestWork(node, { target: `engine-${engine}`, duration });
            }
        }
    },
);

When(
    "every instance but the owner asks for 1 piece of work of {int} ms at engine {int}",
    function(this: ProcessWorld, duration: number, engine: number) {
        const owner = this.bench.findEngineOwner(engine);
        for (const node of this.bench.bench.nodes.filter(each => each !== owner)) {
            this.bench.bench.requestWork(node, { target: `engine-${engine}`, duration });
        }
    },
);

When(
    "every instance asks for {int} pieces of work at every engine each {int} ms for {int} ms",
    function(this: ProcessWorld, count: number, every: number, milliseconds: number) {
        const { bench } = this.bench;
        for (let at = 0; at < milliseconds; at += every) {
            for (const target of this.bench.inventory.targets) {
                for (const node of bench.nodes) {
                    for (let asked = 0; asked < count; asked += 1) {
                        bench.requestWork(node, { target: target.name, duration: every });
                    }
                }
            }
            bench.runFor(every);
        }
    },
);

When("engine {int} restarts", function(this: ProcessWorld, engine: number) {
    this.bench.bench.restartTarget(`10.0.0.${engine}:80`);
});

When("engine {int} gives no load reports", function(this: ProcessWorld, engine: number) {
    this.bench.getEngine(engine).isMute = true;
});

When(
    /^the (zone|batch|target|instance) "([^"]*)" is withdrawn$/,
    function(this: ProcessWorld, selector: string, name: string) {
        this.bench.applyRule({ name: `withdraw-${name}`, action: "withdraw", [selector]: name });
    },
);

When("the zone {string} returns", function(this: ProcessWorld, zone: string) {
    this.bench.rules = this.bench.rules.filter(rule => rule.zone !== zone);
    this.bench.applyRules();
});

When("the platform lists {string} as leaving", function(this: ProcessWorld, name: string) {
    const leaving = { id: name, address: "", zone: "", role: "target" as const, isLeaving: true };
    this.bench.bench.platform.store.instances.push(leaving);
    this.bench.acceptedAt = this.bench.bench.now;
});

When(
    "the holder of {string} settles it, and {int} ms later every live instance claims it",
    function(this: ProcessWorld, key: string, milliseconds: number) {
        const { bench } = this.bench;
        const dispatch = bench.dispatches.find(each => each.key === key);
        const holder = bench.nodes.find(node => node.keysByHolder.has(dispatch?.holder ?? ""));
        assert.ok(dispatch !== undefined && holder !== undefined, "nobody holds the key");
        const outcome = { status: 201, headers: {}, body: "" };
        bench.sendFromGateway(holder, { kind: "settle", key, holder: dispatch.holder, outcome });
        bench.runFor(milliseconds);
        bench.nodes.filter(node => node.isUp).forEach(node => bench.requestClaim(node, key));
    },
);

Then("every repeat of {string} was answered", function(this: ProcessWorld, key: string) {
    const { bench } = this.bench;
    const first = bench.dispatches.find(dispatch => dispatch.key === key)?.holder;
    const results = bench.nodes.flatMap(node =>
        [...node.keysByHolder].flatMap((
            [holder, each],
        ) => (each === key && holder !== first ? [node.claimResults.get(holder)] : []))
    );
    assert.deepEqual(results, results.map(() => "answered"));
    assert.ok(results.length > 0, "nobody repeated the key");
});

Then("{string} was dispatched {int} time(s)", function(this: ProcessWorld, key: string, count: number) {
    assert.equal(this.bench.bench.dispatches.filter(dispatch => dispatch.key === key).length, count);
});

Then("{string} was dispatched at most once", function(this: ProcessWorld, key: string) {
    const { length } = this.bench.bench.dispatches.filter(dispatch => dispatch.key === key);
    assert.ok(length <= 1, `"${key}" was dispatched ${length} times`);
});

Then("no promise was broken", function(this: ProcessWorld) {
    assert.deepEqual(this.bench.bench.violations, []);
});

Then("engine {int} never held more than it bears while cold", function(this: ProcessWorld, engine: number) {
    const { greatestCold } = this.bench.getEngine(engine);
    assert.ok(greatestCold <= BENCH_COLD_CONCURRENT, `it held ${greatestCold}`);
});

Then("engine {int} began at least {int} pieces of work", function(this: ProcessWorld, engine: number, count: number) {
    const { starts } = this.bench.getEngine(engine);
    assert.ok(starts >= count, `it began ${starts}`);
});

Then("every live instance has generation {int} in force", function(this: ProcessWorld, generation: number) {
    const nodes = this.bench.bench.nodes.filter(node => node.isUp && node.paused === undefined);
    assert.deepEqual(nodes.map(node => `${node.id} ${node.generation}`), nodes.map(node => `${node.id} ${generation}`));
});

Then(
    "instance {int} has generation {int} in force",
    function(this: ProcessWorld, instance: number, generation: number) {
        assert.equal(this.bench.getNode(instance).generation, generation);
    },
);

Then(/^instance (\d+) (serves|does not serve)$/, function(this: ProcessWorld, instance: string, state: string) {
    assert.equal(this.bench.getNode(Number(instance)).isServing, state === "serves");
});

Then(
    /^no engine of (zone|batch|target|instance) "([^"]*)" began work later than in force$/,
    function(this: ProcessWorld, selector: "zone" | "batch" | "target" | "instance", name: string) {
        const field = selector === "target" ? "name" : selector;
        for (const target of this.bench.inventory.targets.filter(each => each[field] === name)) {
            const last = (this.bench.bench.targets.get(target.address)?.lastStartAt ?? 0) - this.bench.acceptedAt;
            assert.ok(
                last <= IN_FORCE_MILLISECONDS,
                `${target.name} began work ${last} ms after the change was accepted`,
            );
        }
    },
);

Then(/^engines of (zone|batch) "([^"]*)" began work in the last (\d+) ms$/, function(
    this: ProcessWorld,
    selector: "zone" | "batch",
    name: string,
    milliseconds: string,
) {
    for (const target of this.bench.inventory.targets.filter(each => each[selector] === name)) {
        const age = this.bench.bench.now - (this.bench.bench.targets.get(target.address)?.lastStartAt ?? 0);
        assert.ok(age <= Number(milliseconds), `${target.name} began its last work ${age} ms ago`);
    }
});

Then(
    "{int} mixes of all faults from seed {int} break no promise",
    { timeout: 300_000 },
    function(runs: number, seed: number) {
        checkFaultMixes({ seed, runs });
    },
);
