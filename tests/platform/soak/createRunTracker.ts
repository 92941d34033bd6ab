/*
 * Records which requests the backend servers of a soak ran, and finds breaches of the system's guarantees.
 */
import { RunTracker } from "./RunTracker";
import { soakBounds } from "./soakBounds";

/** The number of crashes after which the part that causes them must be known. */
const crashesUntilDecided = 5;
/** How many requests with the part may reach engines from then on. */
const maximumLateCrashingArrivals = 3;

/** Creates an empty tracker. */
export function createRunTracker(): RunTracker {
    const runCounts = new Map<string, number>();
    const singleRunIds = new Set<string>();
    const reportedNotRunIds = new Set<string>();
    const brokenOffIds = new Set<string>();
    const revocationTimes = new Map<string, number>();
    const breaches: string[] = [];
    const lateCrashingArrivals: string[] = [];
    let crashCount = 0;
    let decidedCrashMilliseconds = Infinity;
    let isStable = () => false;
    return {
        recordRun,
        recordSingleRunRequest: requestId => void singleRunIds.add(requestId),
        recordReportedNotRun: requestId => void reportedNotRunIds.add(requestId),
        recordRevocation: (workspace, fromMilliseconds) => void revocationTimes.set(workspace, fromMilliseconds),
        recordBrokenOff: requestId => void brokenOffIds.add(requestId),
        wasBrokenOff: requestId => brokenOffIds.has(requestId),
        recordCrashingArrival,
        recordCrash,
        isStable: () => isStable(),
        setStabilityCheck: newCheck => isStable = newCheck,
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

    function recordCrashingArrival(requestId: string): void {
        if (Date.now() > decidedCrashMilliseconds + soakBounds.stable_window_ms && isStable()) {
            lateCrashingArrivals.push(requestId);
        }
    }

    function recordCrash(): void {
        crashCount += 1;
        if (crashCount === crashesUntilDecided) {
            decidedCrashMilliseconds = Date.now();
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
        const repeatedCrashes = lateCrashingArrivals.length > maximumLateCrashingArrivals
            ? [`${lateCrashingArrivals.join(" ")} reached engines though their part had crashed ${crashCount}`]
            : [];
        return [...breaches, ...repeated, ...misreported, ...repeatedCrashes];
    }
}
