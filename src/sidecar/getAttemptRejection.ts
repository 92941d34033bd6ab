/*
 * Checks whether an attempt may run at a sidecar.
 */
import { isDispatchAllowed } from "../membership";
import { DispatchRequest, RefusalReason } from "../protocol";
import { AttemptRejection } from "./AttemptRejection";
import { BackendState } from "./BackendState";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Gets the reason to reject an attempt.
 * @param options - The options of the sidecar.
 * @param state - The last observed state of the backend server.
 * @param request - The dispatched request.
 * @param isNew - Whether the attempt has just arrived. Only then are the settings checked that it was admitted under; an
 * attempt that has waited keeps its admission.
 * @returns The rejection; undefined if the attempt may run.
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
