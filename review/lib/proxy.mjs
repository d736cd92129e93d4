// A loopback proxy whose open connections can go silent for good, without a reset, while new ones work or are silent too.
import { connect, createServer } from "node:net";

/** Starts a proxy in front of an address; `silence` stops all connections that are open now. */
export async function startProxy(address) {
    const [host, port] = address.split(":");
    const pairs = new Set();
    let isClosedToAll = false;
    let watches = 0;
    const server = createServer({ allowHalfOpen: true }, inner => {
        const outer = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
        const pair = { inner, outer, isSilent: isClosedToAll };
        pairs.add(pair);
        const forward = (from, to) => {
            from.on("data", chunk => {
                watches += from === inner && chunk.includes("watch=") ? 1 : 0;
                if (!pair.isSilent) {
                    to.write(chunk);
                }
            });
            from.on("end", () => pair.isSilent || to.end());
            from.on("error", () => undefined);
            from.on("close", () => {
                pairs.delete(pair);
                to.destroy();
            });
        };
        inner.setNoDelay(true);
        forward(inner, outer);
        forward(outer, inner);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Nothing passes any more on the connections that are open now; they stay open. Returns their number. */
        silence: () => {
            pairs.forEach(pair => {
                pair.isSilent = true;
            });
            return pairs.size;
        },
        /** Lets new connections be silent too, or ends that. */
        setClosedToAll: isClosed => {
            isClosedToAll = isClosed;
        },
        /** Counts the watches that were begun through this proxy. */
        countWatches: () => watches,
        close: () => {
            server.close();
            pairs.forEach(({ inner, outer }) => {
                inner.destroy();
                outer.destroy();
            });
        },
    };
}
