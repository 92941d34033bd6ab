/*
 * How a sidecar answers other processes about its state.
 */
import { FetchStateRequest, FetchStateResponse, VouchRequest, VouchResponse } from "../protocol";

/** The part of the sidecar's service that concerns configuration and directory. */
export interface StateHandler {
    /** Tells the revision held and whether the lease runs, and promises to acknowledge nothing newer for a time. */
    confirmRevision(request: VouchRequest): VouchResponse;
    /** Gives what the sidecar holds. */
    fetchState(request: FetchStateRequest): FetchStateResponse;
}
