/*
 * Why an attempt may not run at a sidecar.
 */
import { RefusalReason } from "../protocol";

/** What speaks against an attempt. */
export interface AttemptRejection {
    /** The reason that is counted and told. */
    reason: RefusalReason;
    /** One sentence for the caller. */
    message: string;
}
