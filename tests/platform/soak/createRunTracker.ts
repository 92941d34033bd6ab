/*
 * Records which requests the backend servers of a soak ran, and finds breaches of the system's guarantees.
 */
import { RunTracker } from "./RunTracker";

/** Creates an empty tracker. */
export function createRunTracker(): RunTracker {
    const runCounts = new Map<string, number>();
    const singleRunIds = new Set<string>();
    const reportedNotRunIds = new Set<string>();
    const brokenOffIds = new Set<string>();
    const revocationTimes = new Map<string, number>();
    const breaches: string[] = [];
    return {
        recordRun,
        recordSingleRunRequest: requestId => void singleRunIds.add(requestId),
        recordReportedNotRun: requestId => void reportedNotRunIds.add(requestId),
        recordRevocation: (workspace, fromMilliseconds) => void revocationTimes.set(workspace, fromMilliseconds),
        recordBrokenOff: requestId => void brokenOffIds.add(requestId),
        wasBrokenOff: requestId => brokenOffIds.has(requestId),
        getRunCount,
        addBreach: text => void breaches.push(text),
        getBreaches,
    };

    function recordRun(requestId: string, workspace: string): void {
        runCounts.set(requestId, getRunCount(requestId) + 1);
        const [sentMilliseconds] = requestId.split("-");
        if (Number(sentMilliseconds) > (revocationTimes.get(workspace) ?? Infinity)) {
            breaches.push(`${requestId} ran for ${workspace}, whose key is gone`);
        }
    }

    function getRunCount(requestId: string): number {
        return runCounts.get(requestId) ?? 0;
    }

    function getBreaches(): readonly string[] {
        const repeated = [...singleRunIds].filter(id => getRunCount(id) > 1).map(id =>
            `${id} ran ${getRunCount(id)} times`
        );
        const misreported = [...reportedNotRunIds].filter(id => getRunCount(id) > 0 && singleRunIds.has(id))
            .map(id => `${id} ran though its caller was told that it did not`);
        return [...breaches, ...repeated, ...misreported];
    }
}
