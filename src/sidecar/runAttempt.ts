/*
 * Runs one attempt: checks that it may run here, queues it, and sends it to the backend server.
 */
import { getRunState } from "../outcome";
import { DispatchRequest, RefusalReason } from "../protocol";
import { AttemptEvent } from "./AttemptEvent";
import { AttemptRejection } from "./AttemptRejection";
import { Attempt } from "./attempts";
import { BackendState } from "./BackendState";
import { CrashDetector } from "./crashes";
import { createRefusedEvent } from "./createRefusedEvent";
import { getAttemptRejection } from "./getAttemptRejection";
import { runCompletionAttempt } from "./runCompletionAttempt";
import { runServiceAttempt } from "./runServiceAttempt";
import { ScheduledRequest } from "./ScheduledRequest";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Runs an attempt.
 * @param options - The options of the sidecar.
 * @param getBackendState - Gets the last observed state of the backend server.
 * @param crashDetector - Collects evidence of engine crashes; undefined for plain services.
 * @param request - The dispatched request.
 * @param attempt - The attempt, which its signal cancels.
 */
export async function* runAttempt(
    options: SidecarOptions,
    getBackendState: () => BackendState,
    crashDetector: CrashDetector | undefined,
    request: DispatchRequest,
    attempt: Attempt,
): AsyncGenerator<AttemptEvent> {
    const { authority, scheduler } = options;
    const rejection = getAttemptRejection(options, getBackendState(), request);
    if (rejection !== undefined) {
        yield refuse(rejection);
        return;
    }
    const prefixHashes = getPrefixHashes(request);
    const outcome = await scheduler.schedule(createScheduledRequest(options, request, prefixHashes), attempt.signal);
    if (outcome.kind === "refused") {
        const message = "The backend server can't take this request now.";
        const { hint, reason, retryAfterMilliseconds } = outcome;
        const runState = getRunState({ kind: "endedInQueue" });
        yield createRefusedEvent(reason, runState, message, authority.getRevision(), retryAfterMilliseconds, hint);
        return;
    }
    const { queueMilliseconds, slot } = outcome;
    const laterRejection = getLaterRejection();
    if (laterRejection !== undefined) {
        slot.release(undefined);
        yield refuse(laterRejection);
        return;
    }
    const enginePriority = outcome.slot.enginePriority ?? request.priority;
    const run = { request, attempt, prefixHashes, slot, queueMilliseconds, enginePriority, getBackendState };
    switch (request.work.case) {
        case "completion":
            yield* runCompletionAttempt(options, run, request.work.value, crashDetector);
            break;
        case "service":
            yield* runServiceAttempt(options, run, request.work.value);
            break;
        case undefined:
            slot.release(undefined);
            yield refuse({ reason: RefusalReason.INVALID_REQUEST, message: "There is no work." });
            break;
    }

    /** Gets the reason to reject the attempt that arose while it waited. */
    function getLaterRejection(): AttemptRejection | undefined {
        if (attempt.signal.aborted) {
            return { reason: RefusalReason.CANCELLED, message: "The request was given up." };
        }
        return getAttemptRejection(options, { ...getBackendState(), isLeaving: false }, request, false);
    }

    function refuse({ reason, message }: AttemptRejection): AttemptEvent {
        return createRefusedEvent(reason, getRunState({ kind: "endedInQueue" }), message, authority.getRevision());
    }
}

/** Gets the prefix hashes of a completion in hexadecimal; none for a plain service. */
function getPrefixHashes(request: DispatchRequest): readonly string[] {
    const hashes = request.work.case === "completion" ? request.work.value.prefixHashes : [];
    return hashes.map(hash => Buffer.from(hash).toString("hex"));
}

/** Creates the request as the scheduler sees it. */
function createScheduledRequest(
    options: SidecarOptions,
    request: DispatchRequest,
    prefixHashes: readonly string[],
): ScheduledRequest {
    const completion = request.work.case === "completion" ? request.work.value : undefined;
    return {
        requestId: request.requestId,
        workspace: request.workspace,
        subscriber: request.subscriber,
        workspaceShareWeight: request.workspaceShareWeight,
        subscriberShareWeight: request.subscriberShareWeight,
        priority: request.priority,
        deadlineMilliseconds: options.clock.getMonotonicMilliseconds() + request.deadlineMilliseconds,
        prefixHashes,
        promptTokens: completion?.promptTokensEstimate ?? 0,
        maximumOutputTokens: completion?.maximumTokens ?? 0,
        mayRedirect: request.mayRedirect,
        acceptBelowMilliseconds: request.acceptBelowMilliseconds === 0 ? undefined : request.acceptBelowMilliseconds,
        runAlone: request.runAlone,
    };
}
