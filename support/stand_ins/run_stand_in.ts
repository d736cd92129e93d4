/**
 * Runs one stand-in as a process: `run_stand_in.js <kind> <IP:port> [engine specification as JSON]`.
 *
 * @module
 */
import { StoreStandIn } from "../platform/store_stand_in.ts";
import { type EngineSpec } from "./engine_core.ts";
import { EngineStandIn, SMALL_ENGINE } from "./engine_stand_in.ts";
import { ServiceStandIn } from "./service_stand_in.ts";
import { openStandIn, type StandIn } from "./stand_in_server.ts";

const [kind = "", address = "", specification = "{}"] = process.argv.slice(2);
const builders: Record<string, () => StandIn> = {
    engine: () => new EngineStandIn({ ...SMALL_ENGINE, ...JSON.parse(specification) as Partial<EngineSpec> }),
    platform: () => new StoreStandIn(),
    service: () => new ServiceStandIn(),
};
const builder = builders[kind];
if (builder === undefined) {
    process.stderr.write(`Cannot run a stand-in: received kind "${kind}".\n`);
    process.exit(2);
}
await openStandIn(builder(), { address });
