/*
 * What a request asks of the request queue.
 */
import { RequestClass } from "./RequestClass";

/** The part of a request that decides when it is started, known before its body is read. */
export interface QueueDemand {
    /** How long its caller waits for the response, in milliseconds; undefined where the request does not say. */
    readonly callerMilliseconds: number | undefined;
    /** Its workspace and urgency; undefined where requests are not distinguished. */
    readonly requestClass?: RequestClass | undefined;
    /** The estimated work of starting it, in requests without a body; 1 where it is not given. */
    readonly work?: number;
}
