/**
 * The serving site of the current scenario, with the responses that its callers have received.
 *
 * @module
 */
import type { StoreReply } from "../../platform/mod.ts";
import type { ServingSite, SiteInstance, SiteTarget } from "../../support/platform/mod.ts";
import type { HttpResult } from "../../support/processes/mod.ts";

/** State that the steps of several files share. */
export const siteContext = {
    /** Site that the scenario has started. */
    site: undefined as ServingSite | undefined,
    /** Responses to the scenario's callers, in the order of the calls. */
    responses: [] as HttpResult[],
    /** Reply of the store to the scenario's own call. */
    storeReply: undefined as StoreReply<unknown> | undefined,
    /** Number of request identifiers created in this run; it is never reset, so that identifiers are not repeated. */
    requestCount: 0,
};

/** Gets the site of the scenario. @throws {Error} If the scenario has started none. */
export function getSite(): ServingSite {
    if (siteContext.site === undefined) {
        throw new Error("Cannot run the step: the scenario has not started a serving site.");
    }
    return siteContext.site;
}

/** Gets an instance of the site; the first has the number 1. @throws {Error} If there is none. */
export function getInstance(number: number): SiteInstance {
    const instance = getSite().instances[number - 1];
    if (instance === undefined) {
        throw new Error(`Cannot run the step: there is no instance ${number}.`);
    }
    return instance;
}

/** Gets a target of a service; the first has the number 1. @throws {Error} If there is none. */
export function getTarget(service: string, number: number): SiteTarget {
    const target = listTargets(service)[number - 1];
    if (target === undefined) {
        throw new Error(`Cannot run the step: "${service}" has no target ${number}.`);
    }
    return target;
}

/** Lists the targets of a service. */
export function listTargets(service: string): SiteTarget[] {
    return getSite().targets.filter(target => target.service === service);
}

/** Lists the times of the targets' crashes in order, on the monotonic clock in milliseconds. */
export function listCrashes(): number[] {
    return getSite().targets.flatMap(({ standIn }) => standIn.crashes).sort((a, b) => a - b);
}

/** Gets the latest response. @throws {Error} If no response has been received. */
export function getLastResponse(): HttpResult {
    const response = siteContext.responses.at(-1);
    if (response === undefined) {
        throw new Error("Cannot run the step: no response has been received.");
    }
    return response;
}

/** Creates a request identifier that no other request has. */
export function createRequestId(): string {
    siteContext.requestCount += 1;
    return formatRequestId(siteContext.requestCount);
}

/** Formats the identifier of the request with a given number. */
export function formatRequestId(count: number): string {
    return count.toString(16).padStart(16, "0");
}

/** Closes the site, if there is one, and drops the responses. */
export function closeSite(): void {
    siteContext.site?.close();
    siteContext.site = undefined;
    siteContext.responses = [];
}
