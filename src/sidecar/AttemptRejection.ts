/*
 * The reason for which a sidecar rejects an attempt.
 */
import { RefusalReason } from "../protocol";

/** Why an attempt is rejected. */
export interface AttemptRejection {
    /** The reason, which is counted in the metrics and sent to the entry process. */
    reason: RefusalReason;
    /** One sentence for the caller. */
    message: string;
}
