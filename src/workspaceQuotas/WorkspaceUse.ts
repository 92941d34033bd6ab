/*
 * What an entry process knows of a workspace with a quota that it uses.
 */
import { WorkspaceQuota } from "../documents";
import { QuotaAccount } from "./QuotaAccount";
import { QuotaWaiter } from "./QuotaWaiter";

/** A workspace that this process uses. */
export interface WorkspaceUse {
    account: QuotaAccount;
    accountNumber: number;
    /** The quota when the use was last compared with the document. */
    quota: WorkspaceQuota;
    /** Whether the quota was removed or counts another unit. What was charged before is sent only within its grants. */
    isRetired: boolean;
    waiters: QuotaWaiter[];
    /** When the bucket can supply the smallest amount that was refused, on the monotonic clock. */
    exhaustedUntilMilliseconds: number;
    exhaustedAmount: number;
    /** When the next request may ask that needs as much. */
    pausedUntilMilliseconds: number;
    unansweredUntilMilliseconds: number;
    useMilliseconds: number;
}
