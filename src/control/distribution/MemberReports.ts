/*
 * The leader's table of the control members and the processes that hold leases from them.
 */
import { ShareStateRequest } from "../../protocol";
import { MemberReport } from "./MemberReport";

/** The reports that have arrived in the term that this member leads. */
export interface MemberReports {
    /**
     * Applies a report.
     * @param request - The report.
     * @returns Whether the report was applied, needs a complete one before it, or is older than the one known.
     */
    apply(request: ShareStateRequest): "applied" | "needsComplete" | "outdated";
    /** Records that a member is granted a lease now. */
    recordLease(memberId: string): void;
    /** Gets the report of a member's newest run. */
    get(memberId: string): MemberReport | undefined;
    /** Gets the reports of each member's newest run and of former runs whose leases may still run. */
    getAll(): readonly MemberReport[];
    /** Removes all reports, at the start of a term. */
    clear(): void;
}
