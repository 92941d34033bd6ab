/*
 * What a client of the operators' interface is made of.
 */
import { Clock } from "../runtime";

/** The options of a client. */
export interface OperatorClientOptions {
    /** The control members' operator addresses, as `http://ip:port` or `https://ip:port`; tried in this order. */
    addresses: readonly string[];
    /** The operator's token. */
    token: string;
    /** The authorities that servers' certificates must come from, in PEM; the system's where absent. */
    authorities?: string;
    /** How long all attempts may take together, in milliseconds. */
    timeoutMilliseconds?: number;
    /** How long one attempt may take, in milliseconds. */
    attemptTimeoutMilliseconds?: number;
    /** The passing of time. */
    clock: Clock;
}
