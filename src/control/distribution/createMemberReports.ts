/*
 * The leader's table of the control members and the processes that hold leases from them. A restarted member has no record
 * of the leases that its former run granted, so the former run's report is kept until its lease is over.
 */
import { ShareStateRequest } from "../../protocol";
import { Clock } from "../../runtime";
import { getHolderKey } from "./getHolderKey";
import { leaseTimes } from "./leaseTimes";
import { MemberReport } from "./MemberReport";
import { MemberReports } from "./MemberReports";

/**
 * Creates an empty table of reports.
 * @param clock - The clock that times are taken from.
 */
export function createMemberReports(clock: Clock): MemberReports {
    const reports = new Map<string, MemberReport>();
    let formerRuns: MemberReport[] = [];
    return { apply, recordLease, get: memberId => reports.get(memberId), getAll, clear };

    function apply(request: ShareStateRequest): "applied" | "needsComplete" | "outdated" {
        const known = reports.get(request.memberId);
        const isSameRun = known?.incarnation === request.incarnation;
        if (!isSameRun && !request.complete) {
            return "needsComplete";
        }
        if (isSameRun && request.number <= known.number) {
            return "outdated";
        }
        if (known !== undefined && !isSameRun) {
            formerRuns.push(known);
        }
        const report = isSameRun ? known : createReport(request);
        reports.set(request.memberId, report);
        updateReport(report, request);
        return "applied";
    }

    function recordLease(memberId: string): void {
        const report = reports.get(memberId);
        if (report !== undefined) {
            report.leaseAssumedUntilMilliseconds = clock.getMonotonicMilliseconds()
                + leaseTimes.assumedLeaseMilliseconds;
        }
    }

    function getAll(): readonly MemberReport[] {
        const now = clock.getMonotonicMilliseconds();
        formerRuns = formerRuns.filter(report => report.leaseAssumedUntilMilliseconds > now);
        return [...reports.values(), ...formerRuns];
    }

    function clear(): void {
        reports.clear();
        formerRuns = [];
    }
}

function createReport(request: ShareStateRequest): MemberReport {
    return {
        memberId: request.memberId,
        address: request.address,
        incarnation: request.incarnation,
        number: 0n,
        revision: 0n,
        leaseAssumedUntilMilliseconds: 0,
        hasStopped: false,
        coversFormerRun: false,
        holders: new Map(),
    };
}

function updateReport(report: MemberReport, request: ShareStateRequest): void {
    report.number = request.number;
    report.address = request.address;
    report.revision = request.configurationRevision;
    report.hasStopped = request.stopped;
    report.coversFormerRun = request.coversFormerRun;
    if (request.complete) {
        report.holders.clear();
    }
    for (const holder of request.holders) {
        const key = getHolderKey(holder);
        if (holder.ended) {
            report.holders.delete(key);
        }
        else {
            report.holders.set(key, holder);
        }
    }
}
