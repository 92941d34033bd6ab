/*
 * An admitted request while it is being forwarded.
 */
import { ObservedRun, RunSubjects } from "../crashQuarantine";
import { Logger } from "../logging";
import { QuotaCharge } from "../workspaceQuotas";
import { Admission } from "./Admission";
import { AttemptCounts } from "./AttemptCounts";
import { CallerReply } from "./CallerReply";
import { ForwardedRequest } from "./ForwardedRequest";
import { PlacementRecord } from "./PlacementRecord";
import { ResponseEnd } from "./ResponseEnd";
import { StreamOriginRecord } from "./StreamOriginRecord";
import { SupersededReason } from "./SupersededReason";

/** A request, its admission and the state of its attempts. Each of its runs is a task of its own. */
export interface ForwardingTask {
    /** The caller's request. */
    readonly request: ForwardedRequest;
    /** Writes the response to the caller. */
    readonly reply: CallerReply;
    /** The route and the service of the request. */
    readonly admission: Extract<Admission, { kind: "admitted"; }>;
    /** What in the request may crash backend servers. */
    readonly subjects: RunSubjects;
    /** The request's deadline, on the monotonic clock, in milliseconds. */
    readonly deadlineMilliseconds: number;
    /**
     * Aborted once the caller has disconnected, the time of the request is over or the process ends soon; that of a run also
     * once another run has superseded it.
     */
    readonly signal: AbortSignal;
    /** Gets when the time of the request is over, on the monotonic clock, in milliseconds. */
    getEndMilliseconds(): number;
    /** Records that the response to the caller has begun, so that it goes on until the deadline. */
    recordResponseBegun(): void;
    /** Names the run in the trackers of prefills; the first run has the id of the request. */
    readonly runId: string;
    /** Logs with the request's id. */
    readonly logger: Logger;
    /**
     * The only software version whose backend servers may continue the stream, since they can't read each other's events;
     * undefined before its first event.
     */
    softwareVersion: string | undefined;
    /** The record of where the stream began; undefined where it needs none. */
    originRecord: StreamOriginRecord | undefined;
    /** The ids of the backend servers that were tried. */
    readonly triedInstanceIds: Set<string>;
    /** Whether it has waited for the prefill of another request; a request waits once. */
    hasWaitedForPrefill: boolean;
    /** The tokens that the engine of the last attempt probably prefills; 0 once it has, and where there is no prompt. */
    prefillTokens: number;
    /** The last attempt's backend server and the load by which it was chosen. */
    placement: PlacementRecord | undefined;
    /** The last attempt as the crash observer follows it; undefined before the first attempt. */
    observedRun: ObservedRun | undefined;
    /** Aborted once the last attempt has ended; undefined before the first one. */
    attemptEnded: AbortController | undefined;
    /**
     * Called while the last attempt's server is silent, now and then.
     * @param silentMilliseconds - How long nothing was received in the attempt, in milliseconds.
     */
    onServerSilent(silentMilliseconds: number): void;
    /** Whether another run is in progress, so that this one sends no further attempt. */
    isHedged: boolean;
    /** Why another run has superseded this one; undefined while none has. */
    supersededReason: SupersededReason | undefined;
    /** Whether a retry was taken from the budget for an attempt that was not sent yet. */
    hasReservedRetry: boolean;
    /** How the last response ended; undefined before the end of the first one. */
    responseEnd: ResponseEnd | undefined;
    /** When all connections were last polled before a step of the request, on the monotonic clock, in milliseconds. */
    polledMilliseconds: number;
    /** The time from the request's arrival to its first attempt, in milliseconds; undefined before that. */
    sentAfterMilliseconds: number | undefined;
    /** What the request has taken from the quota of its workspace; undefined where it counts for none. */
    readonly quotaCharge: QuotaCharge | undefined;
    /** The attempts of all runs. */
    readonly counts: AttemptCounts;
}
