/*
 * Limits how many invalid requests callers may send, to protect the entry process.
 */
import { Socket } from "node:net";

/** Limits invalid requests by connection and by workspace. */
export interface InvalidInputLimiter {
    /**
     * Counts an invalid request.
     * @param socket - The connection that it was sent on.
     * @param workspace - The request's workspace; undefined where the API key was invalid.
     */
    recordInvalidRequest(socket: Socket, workspace: string | undefined): void;
    /** Returns whether a connection has sent so many invalid requests that it should be closed. */
    isConnectionLimitReached(socket: Socket): boolean;
    /**
     * Returns whether a request should be refused before its body is read: its workspace has exceeded the rate of
     * invalid requests, and this connection has sent at least one of them.
     */
    isWorkspaceBlocked(socket: Socket, workspace: string): boolean;
}
