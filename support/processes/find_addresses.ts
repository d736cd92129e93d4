/**
 * Finds free loopback addresses for processes and stand-ins.
 *
 * The ports lie below the range that the kernel assigns to outgoing connections. A port from that range can be taken by
 * a connection before its process has started, or while it restarts.
 *
 * @module
 */
import { createServer } from "node:net";

const HOST = "127.0.0.1";
/** First port of the range. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports that this process has assigned; each appears to be free until the process that uses it is listening. */
const assignedPorts = new Set<number>();

/** Finds loopback addresses with free ports that have not been found before. */
export async function findAddresses(count: number): Promise<string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        if (!assignedPorts.has(port)) {
            assignedPorts.add(port);
            if (await isPortFree(port)) {
                addresses.push(`${HOST}:${port}`);
            }
        }
    }
    return addresses;
}

function isPortFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, HOST, () => server.close(() => resolve(true)));
    });
}
