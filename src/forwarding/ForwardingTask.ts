/*
 * One admitted request on its way.
 */
import { Logger } from "../logging";
import { Admission } from "./Admission";
import { CallerReply } from "./CallerReply";
import { ForwardedRequest } from "./ForwardedRequest";
import { PlacementRecord } from "./PlacementRecord";

/** A request, what was decided of it, and what has become of it so far. */
export interface ForwardingTask {
    /** The caller's request. */
    readonly request: ForwardedRequest;
    /** The way to the caller. */
    readonly reply: CallerReply;
    /** Where the request goes. */
    readonly admission: Extract<Admission, { kind: "admitted"; }>;
    /** When the answer is of no more use, on the monotonic clock, in milliseconds. */
    readonly deadlineMilliseconds: number;
    /** Aborted once the caller has left or the deadline has passed. */
    readonly signal: AbortSignal;
    /** Logs with the request's id. */
    readonly logger: Logger;
    /** The backend servers that were tried. */
    readonly triedInstanceIds: Set<string>;
    /** Whether it has waited for another request's read. */
    hasWaitedForPrefill: boolean;
    /** What the last attempt was placed by. */
    placement: PlacementRecord | undefined;
    /** How many attempts were sent, whether they ran or not. */
    sentCount: number;
    /** How many attempts ran or may have run. */
    runCount: number;
}
