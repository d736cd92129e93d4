// What all scripts share: the temporary folder, the configuration, the record and the end of all processes.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.mjs";

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const HOST = "stamps.example";
export const API_KEY = "key-of-the-only-tenant";
/** True with the disruption of the case, false with `TROUBLE=0`. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;

/** Longest time that a case may take, in milliseconds. */
const MAX_RUN_MS = 110_000;

/** Waits for some milliseconds. */
export const wait = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Builds a desired state with one tenant. */
export function buildConfiguration({ version = 7, routes, services }) {
    return {
        version,
        routes,
        services,
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "tenant-a", api_keys: [API_KEY], priority: 1 }],
    };
}

/** Builds a route to a service with the figures of the sheet. */
export function buildRoute(name, service, changes) {
    return {
        name,
        host: HOST,
        path_prefix: `/${name}/`,
        priority: 2,
        service,
        public: false,
        sticky_sessions: false,
        stream_resume: false,
        ...changes,
    };
}

/**
 * Runs a case and exits with its result. `run` gets the store, a temporary folder, a function that records a line, and a
 * function that registers what has to be closed at the end; it resolves to `{ isBroken, summary }`.
 */
export async function runCase(caseUrl, run) {
    const lines = [];
    const closers = [];
    const startedAt = performance.now();
    const record = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    const folder = mkdtempSync(join(tmpdir(), "review-case-"));
    const recordPath = join(dirname(fileURLToPath(caseUrl)), "record.txt");
    let exitCode = EXIT_NOT_RUN;
    const overtime = wait(MAX_RUN_MS).then(() => {
        throw new Error("the case has taken too long");
    });
    try {
        const store = await startStore();
        closers.push(() => store.close());
        const result = await Promise.race([
            run({ store, folder, record, onEnd: close => closers.push(close) }),
            overtime,
        ]);
        result.summary.forEach(line => record(line));
        record(result.isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        exitCode = result.isBroken ? EXIT_BROKEN : EXIT_HELD;
        console.log(result.summary.join("\n"));
        console.log(result.isBroken ? "broken" : "held");
    }
    catch (error) {
        record(`RESULT: the case could not run: ${String(error)}`);
        console.log(`the case could not run: ${String(error)}`);
    }
    for (const close of closers.reverse()) {
        await close();
    }
    const head = [`disruption: ${HAS_TROUBLE ? "yes" : "no"}`];
    writeFileSync(recordPath, `${[...head, ...lines].join("\n")}\n`);
    if (process.env.KEEP_LOGS === undefined) {
        rmSync(folder, { recursive: true, force: true });
    }
    else {
        console.log(folder);
    }
    process.exit(exitCode);
}
