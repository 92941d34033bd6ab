/*
 * The options of a client of the control members' operator interface.
 */
import { Clock } from "../runtime";

/** The options of a client. */
export interface OperatorClientOptions {
    /** The control members' operator addresses, as `http://ip:port` or `https://ip:port`; tried in this order. */
    addresses: readonly string[];
    /** The operator's token. */
    token: string;
    /** The certificate authorities that servers are verified against, in PEM; defaults to those that Node.js trusts. */
    authorities?: string;
    /** The timeout of a call over all its attempts, in milliseconds; defaults to 20 seconds. */
    timeoutMilliseconds?: number;
    /** The timeout of one attempt, in milliseconds; defaults to 10 seconds. */
    attemptTimeoutMilliseconds?: number;
    /** The clock for timeouts and pauses. */
    clock: Clock;
}
