/**
 * Steps about digests through relays: instances exchange encoded messages over a simulated network without sockets.
 *
 * @module
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DigestOrder, DigestScope } from "../../core/serving/mod.ts";
import { waitMilliseconds } from "../../network/mod.ts";
import { FrameDecoder } from "../../protocol/mod.ts";
import {
    decodeLoad,
    encodeDigestBundle,
    encodeForwardedDigest,
    type ForwardedDigest,
    parseDigestBundle,
} from "../../serving/digest_bundle.ts";
import { DigestRelay } from "../../serving/digest_relay.ts";
import type { DigestMessage } from "../../serving/peer_messages.ts";
import { systemClock } from "../../telemetry/mod.ts";

const ZONES = 4;
const DIGEST_INTERVAL_MILLISECONDS = 400;

interface RelayInstance {
    name: string;
    zone: string;
    relay: DigestRelay;
    isRunning: boolean;
    /** Time of sending of the latest known digest of each other instance. */
    known: Map<string, number>;
}

const instances = new Map<string, RelayInstance>();
let timer: NodeJS.Timeout | undefined;
let messages = 0;
let startedAt = 0;
let order = new DigestOrder();
let parsed: ForwardedDigest[] = [];

/** Builds a digest whose only content is the time at which it is sent. */
function buildDigest(instance: string): DigestMessage {
    return {
        kind: "digest",
        instance,
        address: instance,
        work: { sentAt: [performance.now(), 0, 0] },
        unreachable: [],
        leaving: [],
        paused: [],
        rateStatements: [],
        refusalStatements: [],
        promptEvidence: { crashes: [], sound: [], quarantined: [] },
        baselines: {},
        lines: {},
        versions: { configuration: 1, targets: 1, targetsEra: 0, zones: 1, zonesEra: 0 },
        isWatching: false,
        relayAddress: "",
    };
}

function readSentAt(digest: ForwardedDigest): number {
    return decodeLoad(digest)?.["sentAt"]?.[0] ?? 0;
}

function addInstance(index: number): void {
    const name = `instance-${index}`;
    const zone = `zone-${index % ZONES}`;
    const known = new Map<string, number>();
    const sendFrame = (address: string, frame: Buffer): void => {
        messages += 1;
        setImmediate(() => {
            const receiver = instances.get(address);
            const [message] = new FrameDecoder().handleChunk(frame);
            const bundle = message === undefined ? undefined : parseDigestBundle(message);
            if (receiver?.isRunning === true && instances.get(name)?.isRunning === true && bundle !== undefined) {
                receiver.relay.handleBundle(bundle);
            }
        });
    };
    const relay = new DigestRelay({
        instance: name,
        zone,
        clock: systemClock,
        connections: { sendFrame },
        listPeers: () =>
            [...instances.values()].filter(peer => peer.name !== name).map(peer => ({
                instance: peer.name,
                address: peer.name,
                zone: peer.zone,
                isSilent: !known.has(peer.name),
            })),
        onDigest: digest => known.set(digest.instance, readSentAt(digest)),
    });
    instances.set(name, { name, zone, relay, isRunning: true, known });
}

/** Finds the instances that the running instances of a zone use as relays: they forward most messages. */
function listRelays(zone: string): RelayInstance[] {
    return [...instances.values()].filter(instance => instance.zone === zone && forwarding.has(instance.name));
}

const forwarding = new Set<string>();

const FAILURES: Record<string, () => void> = {
    "nothing fails": () => undefined,
    "one relay of each zone stops": () => stopRelays(Array.from({ length: ZONES }, (_, zone) => zone), 1),
    "both relays of a zone stop": () => stopRelays([0], 2),
    "both relays of each zone stop": () => stopRelays(Array.from({ length: ZONES }, (_, zone) => zone), 2),
};

function stopRelays(zones: readonly number[], count: number): void {
    for (const zone of zones) {
        const relays = listRelays(`zone-${zone}`);
        assert.ok(relays.length >= count, `zone ${zone} has ${relays.length} relays`);
        relays.slice(0, count).forEach(instance => {
            instance.isRunning = false;
            instance.relay.close();
        });
    }
}

/** Records which instances forward digests to their zone in a time. */
async function observeRelays(milliseconds: number): Promise<void> {
    forwarding.clear();
    const restore = [...instances.values()].map(({ relay }) => {
        const handleBundle = relay.handleBundle.bind(relay);
        relay.handleBundle = bundle => {
            if (bundle.scope === DigestScope.none) {
                forwarding.add(bundle.from);
            }
            handleBundle(bundle);
        };
        return () => {
            relay.handleBundle = handleBundle;
        };
    });
    await waitMilliseconds(milliseconds);
    restore.forEach(run => run());
}

After({ tags: "@digest-relays" }, () => {
    clearInterval(timer);
    instances.forEach(({ relay }) => relay.close());
    instances.clear();
});

Given("{int} instances in 4 zones that relay their digests", async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        addInstance(index);
    }
    const sendAll = (): void =>
        instances.forEach(({ name, relay, isRunning }) => {
            if (isRunning) {
                relay.sendDigest(buildDigest(name));
            }
        });
    sendAll();
    timer = setInterval(sendAll, DIGEST_INTERVAL_MILLISECONDS);
    // Before their first digests arrive, all instances act as relays, for as long as that role lasts.
    await waitMilliseconds(5500);
    await observeRelays(1000);
});

When(/^(nothing fails|.* stops?) and (\d+) ms pass$/, async (failure: string, milliseconds: string) => {
    FAILURES[failure]?.();
    messages = 0;
    startedAt = performance.now();
    await waitMilliseconds(Number(milliseconds));
});

Then("each running instance has a digest of each other one that is at most {int} ms old", (maxAge: number) => {
    const running = [...instances.values()].filter(({ isRunning }) => isRunning);
    const now = performance.now();
    const outdated = running.flatMap(({ name, known }) =>
        running.filter(peer => peer.name !== name && now - (known.get(peer.name) ?? 0) > maxAge).map(peer =>
            `${name} of ${peer.name}`
        )
    );
    assert.deepEqual(outdated, []);
});

Then("an instance sends on average at most {int} messages a second", (limit: number) => {
    const seconds = (performance.now() - startedAt) / 1000;
    const rate = messages / seconds / instances.size;
    assert.ok(rate <= limit, `${rate.toFixed(1)} messages a second`);
});

Given("a digest with the sequence number 5 of the second start of an instance has arrived", () => {
    order = new DigestOrder();
    order.recordDigest("instance", { start: "first", sequence: 8 });
    order.recordDigest("instance", { start: "second", sequence: 5 });
});

Then(
    /^a digest of (that|the first|a third) start with the number (\d+) is (dropped|accepted)$/,
    (start: string, sequence: string, result: string) => {
        const name = { "that": "second", "the first": "first", "a third": "third" }[start] ?? "";
        const isNew = order.recordDigest("instance", { start: name, sequence: Number(sequence) });
        assert.equal(isNew, result === "accepted");
    },
);

When("a message holds a sound digest, one without an address and a number", () => {
    const sound = encodeForwardedDigest(buildDigest("a"), { zone: "z", start: "s", sequence: 1 });
    const unsound = { ...sound, address: undefined as unknown as string };
    const frame = encodeDigestBundle({ from: "b", scope: DigestScope.none, digests: [sound, unsound] });
    const [message] = new FrameDecoder().handleChunk(frame) as unknown as [{ kind: string; digests: unknown[]; }];
    message.digests.push(7);
    parsed = parseDigestBundle(message)?.digests ?? [];
});

Then("the sound digest is read and nothing else", () => {
    assert.deepEqual(parsed.map(({ instance }) => instance), ["a"]);
});
