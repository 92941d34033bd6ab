/*
 * Applies the rate limits of the configuration tree to admitted requests.
 */
import { RefusalReason } from "../protocol";
import { AdmittedRequest } from "./AdmittedRequest";
import { createRefusal } from "./createRefusal";
import { EntryOptions } from "./EntryOptions";
import { Refusal } from "./Refusal";

/** Whether a request is within its limits. */
type LimitOutcome =
    /** The request is within all limits; `finish` ends its use of them and corrects the estimate of tokens. */
    | { kind: "admitted"; finish: (usedTokens?: number) => void; }
    /** The request exceeds a limit. */
    | { kind: "refused"; refusal: Refusal; };

/**
 * Counts a request against every limit that applies to it, or refuses it.
 * @param options - The entry's options.
 * @param request - The admitted request.
 */
export function limitRequest(options: EntryOptions, request: AdmittedRequest): LimitOutcome {
    const { limitsByLevel } = options.configuration.getEffectiveSettings(request.subscriber.path);
    const decision = options.limiter?.admit(limitsByLevel, estimateTokens(options, request));
    if (decision?.kind === "refused") {
        const message = `The limit ${decision.quotaKind} of ${decision.level} is reached.`;
        const refusal = createRefusal(RefusalReason.RATE_LIMITED, message, decision.retryAfterMilliseconds);
        return { kind: "refused", refusal };
    }
    return { kind: "admitted", finish: usedTokens => decision?.finish(usedTokens) };
}

/** Estimates the number of tokens of the prompt and the longest completion; 0 for a service call. */
function estimateTokens({ routing }: EntryOptions, { work }: AdmittedRequest): number {
    return work.kind === "completion"
        ? Math.ceil(Buffer.byteLength(work.request.prompt) / routing.bytesPerToken) + work.request.maximumTokens
        : 0;
}
