/*
 * Declares how a process requests state from sidecars, so that tests can substitute the network.
 */
import { FetchStateRequest, FetchStateResponse, VouchRequest, VouchResponse } from "../protocol";

/** Sends requests to sidecars. The result is undefined if no response arrived. */
export interface SidecarPeers {
    /** Asks the sidecar at an address to confirm a revision. */
    requestConfirmation(address: string, request: VouchRequest): Promise<VouchResponse | undefined>;
    /** Fetches the configuration, sidecar set and records of the sidecar at an address. */
    fetchState(address: string, request: FetchStateRequest): Promise<FetchStateResponse | undefined>;
}
