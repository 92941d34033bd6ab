/*
 * The decision on whether a request is within the quota of its workspace.
 */
import { QuotaCharge } from "./QuotaCharge";
import { QuotaRefusal } from "./QuotaRefusal";

/** Whether a request is admitted. */
export type QuotaDecision =
    /** It is; the charge is undefined where the request counts for no quota. */
    | { kind: "admitted"; charge: QuotaCharge | undefined; }
    /** It is refused: the quota is used up, or it can't be known here. */
    | { kind: "refused"; /** What was compared, and its age. */ logFields: object; } & QuotaRefusal;
