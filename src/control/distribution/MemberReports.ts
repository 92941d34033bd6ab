/*
 * What the leader knows of the control members and of those who hold leases from them.
 */
import { ShareStateRequest } from "../../protocol";
import { MemberReport } from "./MemberReport";

/** The reports that have come in the term that this member leads. */
export interface MemberReports {
    /**
     * Takes in a report.
     * @returns Whether it was taken, or a complete one is needed first, or it is older than what is held.
     */
    apply(request: ShareStateRequest): "taken" | "needsComplete" | "late";
    /** Notes that a member is given a lease now. */
    recordLease(memberId: string): void;
    /** Gets the report of a member's newest run. */
    get(memberId: string): MemberReport | undefined;
    /** Gets the reports of all runs whose leases are still counted. */
    getAll(): readonly MemberReport[];
    /** Forgets everything, at the start of a term. */
    clear(): void;
}
