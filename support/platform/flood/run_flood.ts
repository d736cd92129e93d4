/**
 * Measures each kind of misbehaving client against one instance: its peak memory, and the share of ordinary requests
 * that are served in time beside it.
 *
 * Flags: `--seconds 6`, `--program` (path of the program, to compare builds), `--only` (part of a kind's name).
 *
 * @module
 */
import { Command } from "commander";
import { FLOOD_KINDS } from "./flood_kinds.ts";
import { type Flood, FloodSite } from "./flood_site.ts";

const flags = new Command()
    .option("--seconds <seconds>", "duration of each flood, in seconds", "6")
    .option("--program <path>", "program of the instance", "dist/bin/knapweed_serve.js")
    .option("--only <text>", "part of the name of the kinds to run", "")
    .parse()
    .opts<Record<"seconds" | "program" | "only", string>>();

const OTHER_PLACES: Pick<Flood, "kind" | "port" | "path">[] = [
    { kind: "bodies without their last byte", path: "/nowhere/" },
    { kind: "bodies without their last byte", port: "ready", path: "/readyz" },
    { kind: "bodies without their last byte", port: "admin", path: "/metrics" },
    { kind: "pipelined requests that are not read", path: "/nowhere/" },
    { kind: "pipelined requests that are not read", port: "ready", path: "/readyz" },
    { kind: "connections without a request", port: "ready" },
    { kind: "connections without a request", port: "peer" },
    { kind: "bodies without their last byte", port: "peer" },
];

const floods = [...Object.keys(FLOOD_KINDS).map(kind => ({ kind })), ...OTHER_PLACES];
for (const flood of floods.filter(({ kind }) => kind.includes(flags.only))) {
    const site = new FloodSite();
    try {
        await site.start(flags.program);
        const { isRunning, peakMegabytes, servedShare, openDescriptors, ends } = await site.runFlood({
            ...flood,
            milliseconds: Number(flags.seconds) * 1000,
        });
        const { kept, fresh } = servedShare;
        const { port = "caller", path = "" } = flood as Flood;
        process.stdout.write(
            `${flood.kind} (${port} ${path}): ${isRunning ? "running" : "ENDED"}, peak ${peakMegabytes} MB, `
                + `served ${kept.toFixed(3)} (kept connections), ${fresh.toFixed(3)} (new ones), `
                + `${openDescriptors} descriptors, ${JSON.stringify(ends)}\n`,
        );
    }
    finally {
        await site.close();
    }
}
process.exit(0);
