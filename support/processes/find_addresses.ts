/**
 * Finds free loopback addresses for processes and stand-ins.
 *
 * The ports lie below the range that the kernel assigns to outgoing connections. A port from that range can be taken by
 * a connection before its process has started, or while it restarts. Other test processes take none of the ports
 * either: each process reserves blocks of them, by a UDP socket at the first port of the block, which the kernel closes
 * when the process ends.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";

const HOST = "127.0.0.1";
/** First port of the range. */
const FIRST_PORT = 10_000;
const BLOCK_COUNT = 400;
const PORTS_PER_BLOCK = 50;
/** Number of blocks that a process keeps. Those reserved longest ago are released, for their ports are no longer used. */
const MAX_BLOCKS = 60;
const MAX_TRIES = 10 * BLOCK_COUNT;

/** Sockets that reserve blocks, in the order of the reservations. */
const reservations: Socket[] = [];
/** Ports of the reserved blocks that have not been assigned yet. */
const unassignedPorts: number[] = [];
let pendingReservation: Promise<void> | undefined;

/** Finds loopback addresses with free ports that neither this process nor another one has been assigned lately. */
export async function findAddresses(count: number): Promise<string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
        const port = unassignedPorts.shift();
        if (port === undefined) {
            pendingReservation ??= reserveBlock().finally(() => {
                pendingReservation = undefined;
            });
            await pendingReservation;
        }
        else if (await isPortFree(port)) {
            addresses.push(`${HOST}:${port}`);
        }
    }
    return addresses;
}

async function reserveBlock(): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const firstPort = FIRST_PORT + PORTS_PER_BLOCK * Math.floor(Math.random() * BLOCK_COUNT);
        const socket = createSocket("udp4").unref();
        socket.bind({ port: firstPort, address: HOST, exclusive: true });
        if (await once(socket, "listening").then(() => true, () => false)) {
            reservations.push(socket);
            reservations.splice(0, reservations.length - MAX_BLOCKS).forEach(oldest => oldest.close());
            unassignedPorts.push(...Array.from({ length: PORTS_PER_BLOCK }, (_, index) => firstPort + index));
            return;
        }
        socket.close();
    }
    throw new Error(`all blocks of ports from ${FIRST_PORT} on are reserved by other processes`);
}

function isPortFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
}
