/*
 * The quotas of workspaces at the leader.
 */
import { ResponseExtension } from "../feed";

/** Grants amounts to entry processes. */
export interface QuotaLedger extends ResponseExtension {
    /** Empties all buckets: called when this member begins to lead. */
    beginTerm(): void;
}
