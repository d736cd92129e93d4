/**
 * Steps about refusals that targets write once more on a kept connection.
 *
 * @module
 */
import { Then, When } from "@cucumber/cucumber";
import { waitForLine } from "../support/log_lines.ts";
import { formatRequestId, getSite, siteContext } from "../support/site_context.ts";

When("the caller sends the same {string} again", async function(kind: string) {
    const id = formatRequestId(siteContext.requestCount);
    siteContext.responses.push(await getSite().call({ kind, id, deadlineMilliseconds: 1500 }));
});

Then(
    /^the instance has logged that the response proves nothing, since it names (no request|another request)$/,
    async function(named: string) {
        await waitForLine(getSite().instances, {
            event: "response proves nothing",
            request: formatRequestId(siteContext.requestCount),
            reason: `names ${named}`,
        });
    },
);
