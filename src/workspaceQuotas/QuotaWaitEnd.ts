/*
 * How the wait for a grant ended.
 */
import { QuotaCharge } from "./QuotaCharge";

/** The end of a wait. */
export type QuotaWaitEnd =
    | { kind: "charged"; charge: QuotaCharge; }
    /** The bucket has too little. */
    | { kind: "exhausted"; }
    /** The workspace has no quota any more. */
    | { kind: "unlimited"; }
    /** The quota counts another unit, in which the request must ask again. */
    | { kind: "unitChanged"; };
