/*
 * The response to a caller where no backend server's response can be passed on.
 */
import { RefusalReason } from "../protocol";

/** A refusal or failure that the entry process itself reports. */
export type Refusal =
    /** The request is not allowed as it is; it has not run. */
    | { kind: "denied"; reason: RefusalReason; }
    /** The request has not run and will not run; the caller may retry after a delay. */
    | { kind: "notRun"; reason: RefusalReason; retryAfterMilliseconds: number; }
    /** The request may have run. */
    | { kind: "unknown"; reason: RefusalReason; };
