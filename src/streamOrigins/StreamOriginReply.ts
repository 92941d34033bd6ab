/*
 * The result of one call to a control member, as the calling entry process sees it.
 */
import { StreamOrigin } from "../protocol";

/** The member's response, or the reason why there is none. */
export type StreamOriginReply =
    /** The origin is undefined where the member does not hold it, and for calls that record. */
    | { kind: "answered"; origin: StreamOrigin | undefined; }
    | { kind: "failed"; reason: string; };
