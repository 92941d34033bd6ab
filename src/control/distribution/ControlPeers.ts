/*
 * The calls to control members, as an interface so that tests can use a fake network. Addresses are `ip:port`; no call
 * throws.
 */
import {
    ExecuteRequest,
    ExecuteResponse,
    QueryRequest,
    QueryResponse,
    RelayRequest,
    RelayResponse,
    ShareStateRequest,
    ShareStateResponse,
    WaitInForceRequest,
    WaitInForceResponse,
} from "../../protocol";
import { CallOutcome } from "./CallOutcome";

/** Calls control members. */
export interface ControlPeers {
    /** Commits commands. The signal cancels the call. */
    execute(address: string, request: ExecuteRequest, signal?: AbortSignal): Promise<CallOutcome<ExecuteResponse>>;
    /** Sends a query about the replicated state. */
    query(address: string, request: QueryRequest): Promise<CallOutcome<QueryResponse>>;
    /** Sends this member's changed records and lease holders. */
    shareState(address: string, request: ShareStateRequest): Promise<CallOutcome<ShareStateResponse>>;
    /** Relays events to processes and updates from processes. */
    relay(address: string, request: RelayRequest): Promise<CallOutcome<RelayResponse>>;
    /** Waits at the leader until a configuration revision is in force. */
    waitInForce(address: string, request: WaitInForceRequest): Promise<CallOutcome<WaitInForceResponse>>;
}
