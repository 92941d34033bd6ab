/*
 * Distinguishes a crash of the engine from a lost connection, and reports the requests that were in flight at a crash.
 */
import { create } from "@bufbuild/protobuf";
import { CommandSchema, CrashReport, CrashReportSchema } from "../../protocol";
import { CrashDetector } from "./CrashDetector";
import { CrashDetectorOptions } from "./CrashDetectorOptions";
import { InFlightRequest } from "./InFlightRequest";

const reportTimeoutMilliseconds = 1_000;
const maximumCrashesRemembered = 16;

/** Creates the crash detector of a sidecar. */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
    const { adapter, clock, control, instanceId, logger } = options;
    const inFlight = new Set<InFlightRequest>();
    const checksByIncarnation = new Map<string, Promise<boolean>>();
    return {
        addRequest: request => inFlight.add(request),
        removeRequest: request => inFlight.delete(request),
        checkCrash,
    };

    function checkCrash(request: InFlightRequest): Promise<boolean> {
        const incarnation = request.backendIncarnation;
        const check = checksByIncarnation.get(incarnation) ?? startCheck(incarnation);
        checksByIncarnation.set(incarnation, check);
        if (checksByIncarnation.size > maximumCrashesRemembered) {
            const [oldest] = checksByIncarnation.keys();
            checksByIncarnation.delete(oldest!);
        }
        return check;
    }

    /** Starts a check with the requests in flight at this moment, before any of them is removed. */
    function startCheck(incarnation: string): Promise<boolean> {
        const candidates = [...inFlight].filter(request => request.backendIncarnation === incarnation);
        return confirmCrash(incarnation, candidates);
    }

    async function confirmCrash(incarnation: string, candidates: readonly InFlightRequest[]): Promise<boolean> {
        const load = await adapter.getLoad();
        if (load?.incarnation === incarnation) {
            checksByIncarnation.delete(incarnation);
            return false;
        }
        logger.warn({ backendIncarnation: incarnation, inFlight: candidates.length }, "the engine has crashed");
        await shareReport(createReport(incarnation, candidates));
        return true;
    }

    function createReport(incarnation: string, candidates: readonly InFlightRequest[]): CrashReport {
        return create(CrashReportSchema, {
            companion: instanceId,
            backendIncarnation: incarnation,
            fingerprints: candidates.map(candidate => candidate.fingerprint),
            ranAlone: candidates.length === 1 && candidates[0]!.mustRunAlone,
        });
    }

    /** Commits a report to the replicated log, and waits for it only up to a timeout, since the requests wait too. */
    async function shareReport(report: CrashReport): Promise<void> {
        if (control === undefined) {
            return;
        }
        const cancellation = new AbortController();
        const command = create(CommandSchema, { command: { case: "crashReport", value: report } });
        const committed = control.execute(command).then(result => {
            if (result.kind !== "committed") {
                logger.warn({ reason: result.reason }, "crash report was not committed");
            }
        });
        await Promise.race([committed, clock.sleep(reportTimeoutMilliseconds, cancellation.signal)]);
        cancellation.abort();
    }
}
