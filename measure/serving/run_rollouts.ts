/**
 * Measures the verdicts on rollouts in simulations over many seeds.
 *
 * Usage: `npm run measure:rollouts -- [seeds] [instances] [seconds] [text]`; only rows whose name holds the text are run.
 *
 * @module
 */
import {
    type RolloutSimulationOptions,
    simulateRollout,
    type VersionBehaviour,
} from "../../support/platform/rollout_simulation.ts";

const [seeds = 20, instances = 65, seconds = 25] = process.argv.slice(2, 5).map(Number);
const text = process.argv[5] ?? "";

const HALF = seconds * 500;
const BEHAVIOURS: Record<string, VersionBehaviour> = {
    "good": {},
    "0.3 fail": { portion: 0.3 },
    "0.3 slow": { portion: 0.3, kind: "slow" },
    "0.1 fail": { portion: 0.1 },
    "0.3 fail, later": { portion: 0.3, from: HALF },
    "0.3 slow, later": { portion: 0.3, kind: "slow", from: HALF },
    "0.3 fail, under load": { portion: 0.3, load: 2 },
    "0.3 fail, one route": { portion: 0.3, route: "check" },
    "0.3 fail in the last 2.5 s": { portion: 0.3, from: seconds * 1000 - 2500 },
};
const SITUATIONS = [
    "half of the instances are cut off from the others and the store",
    "every tenth instance is cut off from all others",
    "the first two instances die",
    "all instances restart",
    "the store is down for 6 s",
    "a few instances get most of the requests",
];

function measureRow(name: string, options: Omit<RolloutSimulationOptions, "seed">): void {
    const outcomes = Array.from({ length: seeds }, (_, index) => simulateRollout({ ...options, seed: index + 1 }));
    const wanted = (options.behaviour?.portion ?? 0) > 0 ? "rolled_back" : "completed";
    const largest = (values: number[]): number => Math.max(...values);
    console.log([
        name,
        seeds,
        outcomes.filter(({ state }) => state !== wanted).length,
        largest(outcomes.map(({ sent, requests }) => sent / (0.1 * requests + 50))).toFixed(2),
        outcomes.filter(({ sent, requests }) => sent > 0.1 * requests + 50).length,
        Math.round(largest(outcomes.map(({ lateMilliseconds }) => lateMilliseconds))),
        outcomes.filter(({ lateMilliseconds }) => lateMilliseconds > 5000).length,
        (outcomes.reduce((sum, { cutStreams }) => sum + cutStreams, 0)
            / Math.max(1, outcomes.reduce((sum, { streams }) => sum + streams, 0))).toFixed(2),
        Math.round(largest(outcomes.map(({ endedAt }) => endedAt))),
    ].join(" | "));
}

console.log("| run | seeds | wrong | most of the exposure | beyond it | latest ms | later than 5 s | cut | ended ms |");
for (const service of ["plain", "pool"] as const) {
    const rows: [string, Omit<RolloutSimulationOptions, "seed">][] = [
        ...Object.entries(BEHAVIOURS).map(([name, behaviour]): [string, Omit<RolloutSimulationOptions, "seed">] => [
            `${service}: ${name}`,
            {
                service,
                seconds,
                instances,
                behaviour: behaviour.route === undefined || service === "pool"
                    ? behaviour
                    : { ...behaviour, route: "stamp" },
            },
        ]),
        ...SITUATIONS.flatMap((situation): [string, Omit<RolloutSimulationOptions, "seed">][] => [
            [`${service}: good, ${situation}`, { service, seconds, instances, situation }],
            [`${service}: 0.3 fail, ${situation}`, {
                service,
                seconds,
                instances,
                situation,
                behaviour: { portion: 0.3, from: 4000 },
            }],
        ]),
    ];
    rows.filter(([name]) => name.includes(text)).forEach(([name, options]) => measureRow(name, options));
}
