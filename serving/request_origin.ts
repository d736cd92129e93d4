/**
 * Tells who sent a request, for the order in which requests are served while there is no room.
 *
 * @module
 */
import { hashText } from "../core/hashing/mod.ts";
import type { RequestOrigin } from "../core/serving/mod.ts";
import type { CallerRequest } from "../platform/mod.ts";

/**
 * Builds the origin of a request.
 *
 * A caller that returns is known by account, path and prompt; where there is no prompt, by the request's fingerprint.
 */
export function buildRequestOrigin(
    { path, promptParts }: Pick<CallerRequest, "path" | "promptParts">,
    { account = "", route, zone, fingerprint }: {
        account: string | undefined;
        route: string;
        zone: string;
        fingerprint: string;
    },
): RequestOrigin {
    const lastPart = promptParts.at(-1);
    const identity = promptParts.length === 0 ? [fingerprint] : [account, path, ...promptParts];
    return {
        account,
        kind: route,
        zone,
        session: lastPart === undefined ? undefined : hashText(lastPart),
        getCaller: () => hashText(JSON.stringify(identity)),
        returnKind: undefined,
    };
}
