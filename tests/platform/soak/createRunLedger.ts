/*
 * Keeps the runs of all backend servers of a soak.
 */
import { RunLedger } from "./RunLedger";

/** Creates an empty ledger. */
export function createRunLedger(): RunLedger {
    const runCounts = new Map<string, number>();
    const onceIds = new Set<string>();
    const notRunIds = new Set<string>();
    const revokedFrom = new Map<string, number>();
    const breaches: string[] = [];
    return {
        noteRun,
        noteOnce: requestId => void onceIds.add(requestId),
        noteNotRun: requestId => void notRunIds.add(requestId),
        noteRevoked: (workspace, fromMilliseconds) => void revokedFrom.set(workspace, fromMilliseconds),
        getRunCount,
        addBreach: text => void breaches.push(text),
        getBreaches,
    };

    function noteRun(requestId: string, workspace: string): void {
        runCounts.set(requestId, getRunCount(requestId) + 1);
        const [sent] = requestId.split("-");
        if (Number(sent) > (revokedFrom.get(workspace) ?? Infinity)) {
            breaches.push(`${requestId} ran for ${workspace}, whose key is gone`);
        }
    }

    function getRunCount(requestId: string): number {
        return runCounts.get(requestId) ?? 0;
    }

    function getBreaches(): readonly string[] {
        const twice = [...onceIds].filter(id => getRunCount(id) > 1).map(id => `${id} ran ${getRunCount(id)} times`);
        const untrue = [...notRunIds].filter(id => getRunCount(id) > 0 && onceIds.has(id))
            .map(id => `${id} ran though its caller was told that it did not`);
        return [...breaches, ...twice, ...untrue];
    }
}
