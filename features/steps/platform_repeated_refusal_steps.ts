/**
 * Steps about refusals that targets write once more on a kept connection.
 *
 * @module
 */
import { When } from "@cucumber/cucumber";
import { formatRequestId, getSite, siteContext } from "../support/site_context.ts";

When("the caller sends the same {string} again", async function(kind: string) {
    const id = formatRequestId(siteContext.requestCount);
    siteContext.responses.push(await getSite().call({ kind, id, deadlineMilliseconds: 1500 }));
});
