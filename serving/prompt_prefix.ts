/**
 * Keys of a request's prompt, by which engines that have leading parts of it cached are known.
 *
 * @module
 */
import { buildPromptPrefix, type PrefixPart, type ServiceDefinition } from "../core/serving/mod.ts";
import type { CallerRequest } from "../platform/mod.ts";
import type { ServingState } from "./serving_state.ts";

/**
 * Builds the keys of a request's prompt parts; empty unless engines handle the request and state their pace, since only
 * there a saving is compared with a wait.
 */
export function buildRequestPrefix(
    state: Pick<ServingState, "targetPace">,
    { service, request }: {
        service: ServiceDefinition;
        request: Pick<CallerRequest, "model" | "promptParts" | "promptPartTokens">;
    },
): PrefixPart[] {
    if (service.engine === undefined || !state.targetPace.isPaced(service.name)) {
        return [];
    }
    return buildPromptPrefix(
        `${service.name} ${request.model}`,
        request.promptParts.map((id, index) => ({ id, tokens: request.promptPartTokens[index] ?? 0 })),
    );
}
