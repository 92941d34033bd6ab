/*
 * Shares which backend servers do not respond. One entry process reports a server, and goes on to probe it and to renew the
 * report; the others avoid it without probes of their own. A report is no verdict on attempts that are in flight: each entry
 * process ends those only after it has probed the server itself.
 */
import { FactStore } from "../facts";
import { Clock } from "../runtime";
import { ReportedServers } from "./ReportedServers";
import { unresponsiveServerFactKind } from "./unresponsiveServerFactKind";

/** How old a report may be before it is renewed, in milliseconds: well below its lifetime. */
const renewalMilliseconds = 1_000;
/** How long reports are ignored after the server has responded, in milliseconds: its path from others may be interrupted. */
const contradictionMilliseconds = 5_000;

/**
 * Creates the view of an entry process.
 * @param facts - The facts of the entry process.
 * @param clock - The clock of the facts.
 * @param onReport - Called when another entry process has begun to report a backend server.
 */
export function createReportedServers(
    facts: FactStore,
    clock: Clock,
    onReport: (instanceId: string) => void,
): ReportedServers {
    /** Until when the reports of others hold, in monotonic milliseconds, by the id of the server. */
    let reportEnds: ReadonlyMap<string, number> = new Map();
    const contradictionEnds = new Map<string, number>();
    facts.addListener((kind, isOwn) => {
        if (kind.name === unresponsiveServerFactKind.name && !isOwn) {
            readReports();
        }
    });
    return { isReported, report, endReport, contradict };

    function readReports(): void {
        const former = reportEnds;
        const now = clock.getMonotonicMilliseconds();
        contradictionEnds.forEach((end, instanceId) => {
            if (end <= now) {
                contradictionEnds.delete(instanceId);
            }
        });
        reportEnds = new Map(
            facts.getAll(unresponsiveServerFactKind)
                .filter(({ isOwn }) => !isOwn)
                .map(({ key, timeMilliseconds }) => [
                    key,
                    timeMilliseconds + unresponsiveServerFactKind.lifetimeMilliseconds,
                ]),
        );
        [...reportEnds.keys()].filter(id => !former.has(id) && isReported(id)).forEach(onReport);
    }

    function isReported(instanceId: string): boolean {
        const end = reportEnds.get(instanceId);
        const now = clock.getMonotonicMilliseconds();
        return end !== undefined && end > now && (contradictionEnds.get(instanceId) ?? 0) <= now;
    }

    function report(instanceId: string): void {
        const own = facts.getOwn(unresponsiveServerFactKind, instanceId);
        const isDue = own === undefined
            ? !isReported(instanceId)
            : clock.getMonotonicMilliseconds() - own.timeMilliseconds >= renewalMilliseconds;
        if (isDue) {
            facts.publish(unresponsiveServerFactKind, instanceId, true);
        }
    }

    function endReport(instanceId: string): void {
        facts.withdraw(unresponsiveServerFactKind, instanceId);
    }

    function contradict(instanceId: string): void {
        if (reportEnds.has(instanceId)) {
            contradictionEnds.set(instanceId, clock.getMonotonicMilliseconds() + contradictionMilliseconds);
        }
    }
}
