/**
 * Runs `knapweed-serve` with a link to the targets that a soak test cuts and heals.
 *
 * The file beside the settings holds the kind of the cut, or nothing; it is read at the start and at each `SIGUSR2`.
 *
 * @module
 */
process.on("SIGHUP", () => undefined);
process.on("SIGPIPE", () => undefined);

import { existsSync, readFileSync } from "node:fs";
import { type LinkCut, TargetLink } from "../target_link.ts";

const settingsPath = process.argv[process.argv.indexOf("--settings") + 1] ?? "";
const link = new TargetLink();
const applyCut = (): void => {
    const path = `${settingsPath}.cut`;
    const cut = existsSync(path) ? readFileSync(path, "utf8") : "";
    if (cut === "") {
        link.resume();
    }
    else {
        link.breakConnections(cut as LinkCut);
    }
};
process.on("SIGUSR2", applyCut);
applyCut();

const { runServeProgram } = await import("../../../bin/serve_program.ts");
await runServeProgram({ openTargetConnection: address => link.openConnection(address) });
