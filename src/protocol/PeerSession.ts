/*
 * One HTTP/2 session to another process, which tells whether anything arrives on it.
 */
import { PeerConnection } from "./PeerConnection";

/** A session that is opened on first use, and again after it ended. */
export interface PeerSession {
    /** The session manager that opens the HTTP/2 streams of calls. */
    readonly manager: PeerConnection["manager"];
    /** Opens the session. */
    open(): void;
    /** Tells whether the session is open or being opened, so that calls may be in flight on it. */
    isInUse(): boolean;
    /** Tells whether the session is open, and calls may wait for it to respond. */
    isOpen(): boolean;
    /** Gets the number of bytes that have arrived on the current socket. */
    getReceivedBytes(): number;
    /** Sends a ping, without a time limit for the response. */
    ping(): void;
    /** Ends the session and the calls in flight on it. */
    abort(): void;
}
