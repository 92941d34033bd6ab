/*
 * The quotas of workspaces at an entry process.
 */
import { PollExtension } from "../feed";
import { QuotaDecision } from "./QuotaDecision";
import { QuotaRequest } from "./QuotaRequest";

/** Admits requests within the quotas of their workspaces. */
export interface WorkspaceQuotas extends PollExtension {
    /** Decides on a request, at once where it needs no grant of the leader. */
    admit(request: QuotaRequest): QuotaDecision | Promise<QuotaDecision>;
}
