/**
 * Steps with targets that stop in the middle of the head of a response and close the connection.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { buildTargetEntry, ServingSite } from "../../support/platform/mod.ts";
import type { HttpResult } from "../../support/processes/mod.ts";
import { type RawConnection, RawTarget } from "../support/raw_target.ts";
import { createRequestId, getSite, siteContext } from "../support/site_context.ts";

/** Headers that frame a body, by the name of the frame in the feature file. */
const FRAMES: Record<string, string> = {
    "a length": "content-length: 20\r\n",
    chunks: "transfer-encoding: chunked\r\n",
    "no frame": "connection: close\r\n",
};

/** Functions that end a connection after the last byte of a response, by their name in the feature file. */
const ENDS: Record<string, (socket: Socket) => void> = {
    closes: socket => void socket.end(),
    resets: socket => void socket.resetAndDestroy(),
};

let targets: RawTarget[] = [];
/** Sends what the targets answer, and ends the connection. */
let answer: (request: string, socket: Socket) => void = () => undefined;
let responses: (HttpResult | undefined)[] = [];

After(() => {
    targets.forEach(target => target.close());
    targets = [];
    responses = [];
});

function handleData({ socket, received }: RawConnection): void {
    const request = Buffer.concat(received).toString();
    if (request.includes("\r\n\r\n")) {
        received.length = 0;
        answer(request, socket);
    }
}

Given("a serving site with two raw targets of each service", async function() {
    const site = new ServingSite();
    siteContext.site = site;
    await site.openStore();
    for (const service of ["ledger", "ledger", "engines", "engines"]) {
        const target = new RawTarget();
        targets.push(target);
        target.onData = handleData;
        const entry = buildTargetEntry({ service, address: await target.open() });
        site.store.putObject("servers", `${service}-${targets.length}`, entry);
    }
    await site.addInstance();
    await site.waitUntilReady();
});

/** Calls at the same time: as many as the two targets of a service have slots. */
const CONCURRENT_CALLS = 16;

function findRequestId(request: string): string {
    return /^attempt-id: (\S+)/im.exec(request)?.[1] ?? "";
}

/** Formats the head of a response. */
function formatHead(id: string, frame: string): string {
    return `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-seal: seal\r\ncontent-type: text/event-stream\r\n${
        FRAMES[frame]
    }\r\n`;
}

When(
    /^callers send a "(\w+)" each, and targets stop after each byte of a head with (a length|chunks|no frame) and (closes|resets) the connection$/,
    async function(kind: string, frame: string, end: string) {
        const headBytes = formatHead(createRequestId(), frame).length;
        /** Bytes of the head that a request gets, by its identifier. */
        const bytesById = new Map<string, number>();
        answer = (request, socket) => {
            const id = findRequestId(request);
            socket.write(formatHead(id, frame).slice(0, bytesById.get(id) ?? 1), () => ENDS[end]?.(socket));
        };
        const callInTurn = async (): Promise<void> => {
            while (bytesById.size < headBytes - 1) {
                const id = createRequestId();
                bytesById.set(id, bytesById.size + 1);
                responses.push(await getSite().call({ kind, id, deadlineMilliseconds: 1500 }).catch(() => undefined));
            }
        };
        await Promise.all(Array.from({ length: CONCURRENT_CALLS }, callInTurn));
    },
);

Then("no caller has received a success", function() {
    const statuses = responses.map(response => response?.status ?? 0);
    assert.ok(statuses.length > 0);
    assert.deepEqual(statuses.filter(status => status < 300 && status !== 0), []);
});

Then("some callers were told that the request may have run", function() {
    assert.ok(responses.some(response => response?.headers["x-verdict"] === "may-have-run"));
});
