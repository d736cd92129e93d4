/**
 * Formats the explanation of where a request would go as tables.
 *
 * @module
 */
import type { RequestExplanation, ServiceExplanation, TargetExplanation } from "../serving/mod.ts";

/** Formats an explanation as lines of text. */
export function formatExplanation(explanation: RequestExplanation): string[] {
    const { request, account, route, priority, refusal, readiness, isPartitioned, inputs, services } = explanation;
    const { newestMilliseconds, oldestMilliseconds } = inputs.digests;
    const size = request.size === undefined
        ? ""
        : `, ${request.size.promptTokens} prompt and ${request.size.maxOutputTokens} output tokens`;
    const digestAges = newestMilliseconds === undefined
        ? ""
        : `, ${newestMilliseconds} to ${oldestMilliseconds} ms old`;
    return [
        `request: ${request.host}${request.path}${size}${account === undefined ? "" : `, account ${account}`}`,
        ...route === undefined
            ? []
            : [`route: ${route.name} (${route.kind}), priority ${priority}, objective ${route.objectiveMilliseconds} ms`],
        `inputs: configuration ${
            inputs.configuration ?? "none"
        }, targets of revision ${inputs.targetsRevision}, ${inputs.instances} instances, digests of ${inputs.digests.peers} peers${digestAges}`,
        ...inputs.evacuatedZones.length === 0 ? [] : [`evacuated zones: ${inputs.evacuatedZones.join(", ")}`],
        ...readiness === "" ? [] : [`not ready: ${readiness}`],
        ...isPartitioned ? ["this instance reaches no target and hands requests over to a peer"] : [],
        ...refusal === undefined ? [] : [`refused: ${refusal}`],
        ...services.flatMap(formatService),
    ];
}

function formatService(explanation: ServiceExplanation): string[] {
    const { service, share, isPaced, softwareVersion, targets } = explanation;
    const version = softwareVersion === undefined ? "" : `, version ${softwareVersion}`;
    return [
        "",
        `service: ${service}, ${Math.round(100 * share)} % of the route${version}, ${isPaced ? "paced" : "not paced"}`,
        `decision: ${formatDecision(explanation.decision)}`,
        ...formatTable([
            [
                "target",
                "zone",
                "score",
                "load",
                "penalty",
                "zone cost",
                "jitter",
                "saving",
                "pace",
                "requests",
                "tokens",
                "waiting",
                "cached",
                "ages ms",
                "excluded",
            ],
            ...targets.map(formatTarget),
        ]),
    ];
}

function formatDecision(decision: ServiceExplanation["decision"]): string {
    const waiting = decision.waiting === 0 ? "" : `; ${decision.waiting} requests wait already`;
    if (decision.kind === "placed") {
        return `sent to ${decision.target}, score ${decision.score.toFixed(3)}${waiting}`;
    }
    return decision.kind === "waits"
        ? `waits for up to ${Math.round(decision.milliseconds)} ms${waiting}`
        : `refused: ${decision.reason}, retry after ${decision.retryAfterSeconds.toFixed(2)} s${waiting}`;
}

function formatTarget(explanation: TargetExplanation): string[] {
    const { target, zone, score, parts, pace, load, heldTokens, exclusion, agesMilliseconds = {} } = explanation;
    const scores = [score, parts?.load, parts?.penalty, parts?.zone, parts?.jitter, parts?.saving];
    const counts = [load?.requests, load?.tokens, load?.waitingPromptTokens, heldTokens];
    return [
        target,
        zone,
        ...scores.map(value => value?.toFixed(3) ?? "-"),
        pace?.toFixed(2) ?? "-",
        ...counts.map(value => value === undefined ? "-" : String(Math.round(value))),
        Object.entries(agesMilliseconds).map(([input, age]) => `${input} ${age}`).join(", ") || "-",
        exclusion ?? "",
    ];
}

function formatTable(rows: readonly string[][]): string[] {
    const widths = rows[0]?.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0))) ?? [];
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
