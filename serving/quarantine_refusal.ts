/**
 * Finds the quarantine for which a request is refused, and describes the refusal.
 *
 * @module
 */
import type { QuarantinedPart } from "../core/serving/mod.ts";
import type { ErrorCode } from "../network/serving_error.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { isFingerprint } from "./request_fingerprint.ts";
import type { ServingState } from "./serving_state.ts";

/** Finds the quarantine for which a request is refused: its own, or that of a part of its prompt. */
export function findQuarantine(
    state: ServingState,
    { fingerprint, sharedPromptParts }: Pick<CallerExchange, "fingerprint" | "sharedPromptParts">,
): QuarantinedPart | undefined {
    return state.findQuarantined([...sharedPromptParts, fingerprint]);
}

/** Describes why a request is refused that is quarantined or whose prompt has a quarantined part. */
export function describeQuarantine({ part, crashes }: QuarantinedPart): string {
    return isFingerprint(part)
        ? `it is quarantined, as ${crashes} targets have crashed under it`
        : `its prompt has the quarantined part "${part}", on which ${crashes} engines have crashed`;
}

/** Gets the error code of a request that is refused for a quarantine. */
export function getQuarantineCode({ part }: QuarantinedPart): ErrorCode {
    return isFingerprint(part) ? "request_quarantined" : "prompt_quarantined";
}
