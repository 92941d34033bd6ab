/*
 * Checks whether an attempt may run at a sidecar at all.
 */
import { isDispatchAllowed } from "../membership";
import { DispatchRequest, RefusalReason } from "../protocol";
import { AttemptRejection } from "./AttemptRejection";
import { BackendState } from "./BackendState";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Gets what speaks against an attempt; undefined where it may run.
 * @param state - What is known of the backend server.
 * @param request - What is asked for.
 * @param isNew - Whether the attempt has only just come; one that has waited was admitted under the settings of then.
 */
export function getAttemptRejection(
    options: SidecarOptions,
    state: BackendState,
    request: DispatchRequest,
    isNew = true,
): AttemptRejection | undefined {
    if (state.isLeaving) {
        return { reason: RefusalReason.DRAINING, message: "The backend server is leaving." };
    }
    const { configurationRevision, senderLeaseFresh } = request;
    if (isNew && !isDispatchAllowed(options.authority, configurationRevision, senderLeaseFresh)) {
        return {
            reason: RefusalReason.STALE_SETTINGS,
            message: "The request was admitted under settings that may be out of date.",
        };
    }
    if (!state.isReady) {
        return { reason: RefusalReason.BACKEND_UNREACHABLE, message: "The backend server does not answer." };
    }
    if (request.work.case === "completion" && request.work.value.version !== state.version) {
        return { reason: RefusalReason.WRONG_VERSION, message: "Another weights version is served here." };
    }
    return undefined;
}
