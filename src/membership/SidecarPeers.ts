/*
 * How a process asks sidecars about their state; tests put a network fake here.
 */
import { FetchStateRequest, FetchStateResponse, VouchRequest, VouchResponse } from "../protocol";

/** Asks sidecars; undefined where no answer came. */
export interface SidecarPeers {
    /** Asks a sidecar to vouch. */
    requestConfirmation(address: string, request: VouchRequest): Promise<VouchResponse | undefined>;
    /** Asks a sidecar for what it holds. */
    fetchState(address: string, request: FetchStateRequest): Promise<FetchStateResponse | undefined>;
}
