/*
 * The entry process: the HTTP gateway that callers connect to.
 */
import { Stoppable } from "../runtime";

/** A running entry process. */
export interface Entry extends Stoppable {
    /** The address that callers connect to, as `ip:port`. */
    readonly address: string;
    /** Returns whether the entry has become able to serve requests and is not draining. */
    isReady(): boolean;
    /** Gets the number of requests in flight, including those whose outcome is yet to be recorded. */
    getRequestsInFlight(): number;
}
