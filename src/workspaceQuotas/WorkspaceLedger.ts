/*
 * The leader's account of one workspace.
 */
import { WorkspaceQuota } from "../documents";
import { WorkspaceGrant, WorkspaceUsage } from "../protocol";

/** The bucket of a workspace, and what entry processes have taken from it. */
export interface WorkspaceLedger {
    /** Takes over a changed quota at once; where its unit is another one, all accounts begin anew. */
    setQuota(quota: WorkspaceQuota): void;
    /** Records what an entry process has reported; amounts in another unit than that of the quota are ignored. */
    recordUsage(reporter: string, usage: WorkspaceUsage): void;
    /** Grants what the last report of an account asks for, as far as the bucket allows; the wait is that of the smallest rest. */
    grant(reporter: string, usage: WorkspaceUsage): Pick<WorkspaceGrant, "granted" | "waitMilliseconds">;
    /** Gets what is granted and unused, over all entry processes. */
    getOutstanding(): number;
}
