/*
 * Applies the limits of the configuration tree to an admitted request.
 */
import { RefusalReason } from "../protocol";
import { AdmittedRequest } from "./AdmittedRequest";
import { createRefusal } from "./createRefusal";
import { EntryOptions } from "./EntryOptions";
import { Refusal } from "./Refusal";

/** Whether a request keeps within its limits. */
type LimitOutcome =
    /** It does; `finish` frees what it holds. */
    | { kind: "admitted"; finish: (usedTokens?: number) => void; }
    /** It does not. */
    | { kind: "refused"; refusal: Refusal; };

/** Takes what a request needs of every limit, or refuses it. */
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

/** Gets the tokens that a request will use, by estimate. */
function estimateTokens({ routing }: EntryOptions, { work }: AdmittedRequest): number {
    return work.kind === "completion"
        ? Math.ceil(Buffer.byteLength(work.request.prompt) / routing.bytesPerToken) + work.request.maximumTokens
        : 0;
}
