/*
 * Records which requests the backend servers of a soak ran, and finds breaches of the system's guarantees.
 */
import { CrashingSubject } from "./CrashingSubject";
import { createArrivalTracker } from "./createArrivalTracker";
import { RunTracker } from "./RunTracker";
import { soakBounds } from "./soakBounds";
import { soakIsolatedWorkspace } from "./soakIsolatedWorkspace";

/** The number of crashes after which the subject that causes them must be known. */
const crashesUntilDecided: Readonly<Record<CrashingSubject, number>> = { part: 5, request: 3 };
/** How many requests with the subject may reach backend servers from then on. */
const maximumLateCrashingArrivals = 3;
/** How long after its caller has left a request may still reach a backend server, in milliseconds. */
const leavingToleranceMilliseconds = 500;
/** How many requests may reach backend servers later than that. */
const maximumArrivalsAfterLeaving = 3;

/** Creates an empty tracker. */
export function createRunTracker(): RunTracker {
    const arrivalTracker = createArrivalTracker();
    const runCounts = new Map<string, number>();
    const singleRunIds = new Set<string>();
    const reportedNotRunIds = new Set<string>();
    const cuts: { requestId: string; status: number; }[] = [];
    const brokenOffIds = new Set<string>();
    const leavingTimes = new Map<string, number>();
    const arrivalsAfterLeaving: string[] = [];
    const revocationTimes = new Map<string, number>();
    const saltWorkspaces = new Map<string, string>();
    const breaches: string[] = [];
    const crashTimes: Record<CrashingSubject, number[]> = { part: [], request: [] };
    const lateCrashingArrivals: Record<CrashingSubject, string[]> = { part: [], request: [] };
    let isStable = () => false;
    return {
        recordRequest: arrivalTracker.recordRequest,
        recordArrival: arrivalTracker.recordArrival,
        getBudgetShare: arrivalTracker.getBudgetShare,
        recordRun,
        recordSalt,
        recordLeaving: requestId => void leavingTimes.set(requestId, Date.now()),
        recordSingleRunRequest: requestId => void singleRunIds.add(requestId),
        recordReportedNotRun: requestId => void reportedNotRunIds.add(requestId),
        recordRevocation: (workspace, fromMilliseconds) => void revocationTimes.set(workspace, fromMilliseconds),
        recordCut: (requestId, status) => void cuts.push({ requestId, status }),
        recordBrokenOff: requestId => void brokenOffIds.add(requestId),
        wasBrokenOff: requestId => brokenOffIds.has(requestId),
        recordCrashingArrival,
        recordCrash: subject => void crashTimes[subject].push(Date.now()),
        isStable: () => isStable(),
        setStabilityCheck: newCheck => isStable = newCheck,
        getRunCount,
        addBreach: text => void breaches.push(text),
        getBreaches,
    };

    function recordRun(requestId: string, workspace: string, isBehind: boolean): void {
        runCounts.set(requestId, getRunCount(requestId) + 1);
        const leavingMilliseconds = leavingTimes.get(requestId) ?? Infinity;
        if (Date.now() > leavingMilliseconds + leavingToleranceMilliseconds && isStable() && !isBehind) {
            arrivalsAfterLeaving.push(requestId);
        }
        const [sentMilliseconds] = requestId.split("-");
        if (Number(sentMilliseconds) > (revocationTimes.get(workspace) ?? Infinity)) {
            breaches.push(`${requestId} ran for ${workspace}, whose key is gone`);
        }
    }

    function recordSalt(requestId: string, workspace: string, salt: string | undefined): void {
        if (salt === undefined || salt === "") {
            breaches.push(`${requestId} reached an engine without a salt`);
            return;
        }
        const earlier = saltWorkspaces.get(salt) ?? workspace;
        saltWorkspaces.set(salt, workspace);
        if (earlier !== workspace && [earlier, workspace].includes(soakIsolatedWorkspace)) {
            breaches.push(`${requestId} of ${workspace} has a salt that ${earlier} has used`);
        }
    }

    function recordCrashingArrival(subject: CrashingSubject, requestId: string): void {
        const decidedMilliseconds = crashTimes[subject][crashesUntilDecided[subject] - 1] ?? Infinity;
        if (Date.now() > decidedMilliseconds + soakBounds.stable_window_ms && isStable()) {
            lateCrashingArrivals[subject].push(requestId);
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
        const repeatedCrashes = (["part", "request"] as const)
            .filter(subject => lateCrashingArrivals[subject].length > maximumLateCrashingArrivals)
            .map(subject =>
                `${
                    lateCrashingArrivals[subject].join(" ")
                } reached backend servers though their ${subject} had crashed ${crashTimes[subject].length}`
            );
        const abandoned = arrivalsAfterLeaving.length > maximumArrivalsAfterLeaving
            ? [`${arrivalsAfterLeaving.join(" ")} reached backend servers though their callers had left`]
            : [];
        // A request that was sent to a silent server runs only after its response was cut.
        const cut = cuts.filter(({ requestId }) => getRunCount(requestId) > 0)
            .map(({ requestId, status }) =>
                `${requestId} was cut (status ${status}) though nothing unplanned happened`
            );
        const unallowed = arrivalTracker.getBreaches(getRunCount);
        return [...breaches, ...cut, ...repeated, ...misreported, ...repeatedCrashes, ...abandoned, ...unallowed];
    }
}
