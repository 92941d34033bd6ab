/*
 * Declares how a sidecar answers other processes' requests for its state.
 */
import { FetchStateRequest, FetchStateResponse, VouchRequest, VouchResponse } from "../protocol";

/** The part of the sidecar's service that concerns configuration and directory. */
export interface StateHandler {
    /**
     * Returns the sidecar's revision and whether its lease is valid. If it can confirm the revision of the request, it
     * also promises to acknowledge nothing newer for a time.
     * @param request - The request with the sender's revision.
     */
    confirmRevision(request: VouchRequest): VouchResponse;
    /**
     * Returns the configuration and the sidecar set where they are newer than the sender's, and the sidecars' records
     * unless the request leaves them out.
     * @param request - The request with the sender's revision and set number.
     */
    fetchState(request: FetchStateRequest): FetchStateResponse;
}
