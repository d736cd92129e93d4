/**
 * Program of one crowd of misbehaving clients, which runs until it is killed or its time is over.
 *
 * Arguments: kind, address, path, number of connections, duration in milliseconds. A connection that the server closes
 * is replaced after a pause.
 *
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "../../../network/mod.ts";
import { FLOOD_KINDS } from "./flood_kinds.ts";

/** Pause before a closed connection is replaced, in milliseconds. */
const RECONNECT_MILLISECONDS = 4000;
/** Connections that are opened per millisecond, at most. */
const OPENED_PER_MILLISECOND = 4;

const [name = "", address = "", path = "", connections = "0", duration = "0"] = process.argv.slice(2);
const kind = FLOOD_KINDS[name];
if (kind === undefined) {
    throw new Error(`Cannot start: there is no kind "${name}".`);
}
const { host, port } = parseAddress(address);
const bytes = kind.bytes(path);

function openConnection(): void {
    const socket = connect({ host, port });
    let timer: NodeJS.Timeout | undefined;
    socket.setNoDelay(true);
    socket.write(bytes);
    if (kind?.isReadPaused === true) {
        socket.pause();
    }
    else {
        socket.resume();
    }
    const repeated = kind?.repeated;
    if (repeated !== undefined) {
        timer = setInterval(() => {
            if (!socket.writableNeedDrain) {
                socket.write(repeated.bytes);
            }
        }, repeated.milliseconds);
    }
    socket.on("error", () => undefined);
    socket.on("close", () => {
        clearInterval(timer);
        setTimeout(openConnection, RECONNECT_MILLISECONDS);
    });
}

let opened = 0;
const opener = setInterval(() => {
    for (let count = 0; count < OPENED_PER_MILLISECOND && opened < Number(connections); count += 1) {
        opened += 1;
        openConnection();
    }
    if (opened >= Number(connections)) {
        clearInterval(opener);
    }
}, 1);
setTimeout(() => process.exit(0), Number(duration));
