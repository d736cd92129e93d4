/**
 * Steps of the contracts of the service adapter and of the fair queue.
 *
 * @module
 */
import { After, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { FairQueue } from "../../core/admission/mod.ts";
import { buildRoutingTable, type RoutedTarget } from "../../core/inventory/mod.ts";
import { decideVerdict } from "../../core/verdict/mod.ts";
import { callService, type ServiceAttempt } from "../../gateway/service_client.ts";
import { parseAddress } from "../../network/mod.ts";
import { BAGMATI, createInventory } from "../../support/fixtures/inventories.ts";
import { findAddresses } from "../../support/processes/mod.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";
const BODY_BYTES = 4096;
const HEADER_MARK = Buffer.from("\r\n\r\n");
/** Bytes of the body after which a service cuts the connection in its middle. */
const HALF_BODY = 1000;

/** What a service does with a connection, by the words of the table. */
const MOMENTS: Record<string, (socket: Socket, received: Buffer) => void> = {
    "after it is accepted": socket => socket.destroy(),
    "during the headers": (socket, received) => void (received.length > 0 && socket.destroy()),
    "during the body": (socket, received) => void (countBody(received) > HALF_BODY && socket.destroy()),
    "after the body": (socket, received) => void (countBody(received) >= BODY_BYTES && socket.destroy()),
    "during its answer": (socket, received) => {
        if (countBody(received) >= BODY_BYTES) {
            socket.write(`${HEAD}content-length: 100\r\n\r\nhalf`, () => socket.destroy());
        }
    },
    "never, and is silent": () => undefined,
    "never, and refuses": (socket, received) => {
        if (countBody(received) >= BODY_BYTES) {
            socket.end("HTTP/1.1 503 Busy\r\nx-verdict: not-run\r\ncontent-length: 0\r\n\r\n");
        }
    },
    "never, and crosses ids": (socket, received) => {
        if (countBody(received) >= BODY_BYTES) {
            socket.end(`${HEAD}x-request-id: another\r\ncontent-length: 0\r\n\r\n`);
        }
    },
};

let server: Server | undefined;
let attempt: ServiceAttempt | undefined;
let taken: { account: string; priority: number; }[] = [];

After(() => {
    server?.close();
    server = undefined;
});

/** Counts the bytes of the body in what a service has received. */
function countBody(received: Buffer): number {
    const mark = received.indexOf(HEADER_MARK);
    return mark < 0 ? 0 : received.length - mark - HEADER_MARK.length;
}

async function openService(act: (socket: Socket, received: Buffer) => void): Promise<RoutedTarget> {
    const [address = ""] = await findAddresses(1);
    const opened = createServer(socket => {
        let received = Buffer.alloc(0);
        socket.on("error", () => socket.destroy());
        act(socket, received);
        socket.on("data", chunk => {
            received = Buffer.concat([received, chunk]);
            act(socket, received);
        });
    });
    await new Promise<void>(resolve => opened.listen(parseAddress(address).port, "127.0.0.1", resolve));
    server = opened;
    return createTarget(address);
}

function createTarget(address: string): RoutedTarget {
    const table = buildRoutingTable(createInventory(BAGMATI, { engines: [], services: [address] }));
    const [target] = table.targets.values();
    if (target === undefined) {
        throw new Error("Cannot go on: the inventory has no target.");
    }
    return target;
}

function callTarget(target: RoutedTarget): Promise<ServiceAttempt> {
    return callService({
        target,
        method: "POST",
        path: "/stamps",
        headers: { "x-request-id": "own" },
        body: Buffer.alloc(BODY_BYTES, "x"),
        connectMilliseconds: 300,
        timeoutMilliseconds: 400,
        maxResponseBytes: 1_000_000,
    });
}

When(/^a service cuts the connection (.+)$/, async function(moment: string) {
    const act = MOMENTS[moment];
    const [unused = ""] = await findAddresses(1);
    attempt = await callTarget(act === undefined ? createTarget(unused) : await openService(act));
});

Then("the attempt fails with the verdict {string}", function(verdict: string) {
    assert.equal(attempt?.kind, "failed");
    assert.equal(decideVerdict(attempt.progress), verdict);
});

const ALL_BYTES = Buffer.from(Array.from({ length: 256 }, (_unused, index) => index));

When("a service answers with all bytes from 0 to 255", async function() {
    const target = await openService((socket, received) => {
        if (countBody(received) >= BODY_BYTES) {
            socket.end(Buffer.concat([Buffer.from(`${HEAD}content-length: 256\r\n\r\n`), ALL_BYTES]));
        }
    });
    attempt = await callTarget(target);
});

Then("the attempt gives these bytes", function() {
    assert.equal(attempt?.kind, "answered");
    assert.ok(attempt.response.body.equals(ALL_BYTES));
});

/** Queues pieces of work and takes all of them. */
function runQueue(batches: { count: number; account: string; priority?: number; weight?: number; }[]): void {
    const queue = new FairQueue<{ account: string; priority: number; }>();
    for (const { count, account, priority = 1, weight = 1 } of batches) {
        for (let number = 0; number < count; number += 1) {
            queue.enqueue({ account, priority }, { account, priority, weight });
        }
    }
    taken = [];
    for (let item = queue.dequeue(); item !== undefined; item = queue.dequeue()) {
        taken.push(item);
    }
}

When(
    "account {string} queues {int} pieces of cost 1 and then account {string} queues {int}",
    function(large: string, many: number, small: string, few: number) {
        runQueue([{ account: large, count: many }, { account: small, count: few }]);
    },
);

Then("both pieces of {string} are among the first {int} taken", function(account: string, count: number) {
    assert.equal(taken.slice(0, count).filter(item => item.account === account).length, 2);
});

When(
    "account {string} with weight {int} and account {string} with weight {int} queue {int} pieces each",
    function(heavy: string, heavyWeight: number, light: string, lightWeight: number, count: number) {
        runQueue([{ account: heavy, weight: heavyWeight, count }, { account: light, weight: lightWeight, count }]);
    },
);

Then(
    "of the first {int} taken between {int} and {int} belong to {string}",
    function(count: number, least: number, most: number, account: string) {
        const { length } = taken.slice(0, count).filter(item => item.account === account);
        assert.ok(length >= least && length <= most, `${length} belong to "${account}"`);
    },
);

When(
    "{int} piece(s) of priority {int} is/are queued and then {int} pieces of priority {int}",
    function(first: number, firstPriority: number, second: number, secondPriority: number) {
        runQueue([{ account: "a", count: first, priority: firstPriority }, {
            account: "b",
            count: second,
            priority: secondPriority,
        }]);
    },
);

Then("the piece of priority {int} is among the first {int} taken", function(priority: number, count: number) {
    assert.ok(taken.slice(0, count).some(item => item.priority === priority));
});

Then("the first {int} taken have the priority {int}", function(count: number, priority: number) {
    assert.deepEqual(taken.slice(0, count).map(item => item.priority), Array.from({ length: count }, () => priority));
});
