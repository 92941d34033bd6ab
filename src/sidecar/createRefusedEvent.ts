/*
 * Creates the event that refuses an attempt or ends it without a complete response.
 */
import { create } from "@bufbuild/protobuf";
import { RefusalReason, RefusedSchema, RoutingHintSchema, RunState } from "../protocol";
import { AttemptEvent } from "./AttemptEvent";
import { ScheduleHint } from "./ScheduleHint";

/**
 * Creates the last event of an attempt that has no complete response.
 * @param reason - Why there is no complete response.
 * @param runState - Whether anything ran at the backend server.
 * @param message - One sentence for the caller.
 * @param revision - The configuration revision of this process.
 * @param retryAfterMilliseconds - The delay before a retry in milliseconds; 0 if waiting does not help.
 * @param hint - Advice on where to route the request.
 */
export function createRefusedEvent(
    reason: RefusalReason,
    runState: RunState,
    message: string,
    revision: bigint,
    retryAfterMilliseconds = 0,
    hint?: ScheduleHint,
): AttemptEvent {
    const value = create(RefusedSchema, {
        reason,
        runState,
        message,
        configurationRevision: revision,
        retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
        hint: hint === undefined ? undefined : create(RoutingHintSchema, {
            prefixHash: Buffer.from(hint.prefixHash ?? "", "hex"),
            spread: hint.replicaCount,
            sibling: hint.sibling ?? "",
            predictedWaitMilliseconds: Math.round(hint.predictedWaitMilliseconds),
            predictedCostMilliseconds: Math.round(hint.predictedCostMilliseconds),
            cachedTokens: hint.cachedTokens,
        }),
    });
    return { case: "refused", value };
}
