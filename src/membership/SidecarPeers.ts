/*
 * How a process asks companions about their state; tests put a network fake here.
 */
import { FetchStateRequest, FetchStateResponse, VouchRequest, VouchResponse } from "../protocol";

/** Asks companions; undefined where no answer came. */
export interface SidecarPeers {
    /** Asks a companion to vouch. */
    vouch(address: string, request: VouchRequest): Promise<VouchResponse | undefined>;
    /** Asks a companion for what it holds. */
    fetchState(address: string, request: FetchStateRequest): Promise<FetchStateResponse | undefined>;
}
