/*
 * Keeps callers that send invalid requests from using up the entry.
 */
import { Socket } from "node:net";

/** Counts invalid requests by connection and by workspace. */
export interface InvalidInputLimiter {
    /** Notes an invalid request; the workspace is undefined where the key was invalid too. */
    recordInvalidRequest(socket: Socket, workspace: string | undefined): void;
    /** Tells whether a connection has sent so much that is invalid that it is to be closed. */
    isConnectionLimitReached(socket: Socket): boolean;
    /**
     * Tells whether a request is to be refused unread: its workspace has sent too much that is invalid lately, and this
     * connection had a part in it.
     */
    isWorkspaceBlocked(socket: Socket, workspace: string): boolean;
}
