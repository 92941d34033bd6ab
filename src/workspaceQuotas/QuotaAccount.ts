/*
 * What one entry process was granted of a workspace's quota, and what it has used.
 */
import { WorkspaceUsage } from "../protocol";
import { QuotaCharge } from "./QuotaCharge";

/** The account of a workspace at an entry process; its amounts are cumulative. */
export interface QuotaAccount {
    /** Charges a request, if the credit and the debt limit allow it. */
    tryCharge(amount: number): QuotaCharge | undefined;
    /** Takes over the cumulative amount that the leader has granted; a lower one than before changes nothing. */
    setGranted(granted: number): void;
    /** Gets what is used beyond the grants; negative where there is a credit. */
    getDebt(): number;
    /** Returns whether all that was granted is used for good, and no more than that. */
    isBalanced(): boolean;
    /** Gives up what is granted and unused. */
    writeOffCredit(): void;
    /** Counts all that is granted or charged as used, since the leader no longer counts it; what is not sent must be charged again. */
    lapse(): void;
    /** Lapses at a time on the monotonic clock, before anything else is charged or sent then. */
    lapseAt(milliseconds: number): void;
    /** Settles what was sent some time ago, and gets the amounts for the leader. */
    createReport(): Pick<WorkspaceUsage, "granted" | "charged" | "settled">;
}
