/*
 * What a caller is told where no backend server's answer can be passed on.
 */
import { RefusalReason } from "../protocol";

/** A refusal or failure of the entry's own. */
export type Refusal =
    /** The request is not allowed as it is; it has not run. */
    | { kind: "denied"; reason: RefusalReason; }
    /** The request has not run and will not; it may come again after a time. */
    | { kind: "notRun"; reason: RefusalReason; retryAfterMilliseconds: number; }
    /** The request may have run. */
    | { kind: "unknown"; reason: RefusalReason; };
