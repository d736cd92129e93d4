/**
 * Program that finds the number of addresses in its argument, prints them as JSON and keeps them until it is ended.
 *
 * @module
 */
import { findAddresses } from "./find_addresses.ts";

process.stdout.write(`${JSON.stringify(await findAddresses(Number(process.argv[2])))}\n`);
setInterval(() => undefined, 60_000);
