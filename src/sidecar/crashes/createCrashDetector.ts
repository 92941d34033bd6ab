/*
 * Tells an engine's crash from a lost connection, and reports which requests were in flight at it.
 */
import { create } from "@bufbuild/protobuf";
import { CommandSchema, CrashReport, CrashReportSchema } from "../../protocol";
import { CrashDetector } from "./CrashDetector";
import { CrashDetectorOptions } from "./CrashDetectorOptions";
import { InFlightRequest } from "./InFlightRequest";

const reportTimeoutMilliseconds = 1_000;
const maximumCrashesRemembered = 16;

/** Creates the crash watch of a sidecar. */
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

    /** Keeps those in flight at this moment, before others of them end. */
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
        logger.warn({ backendIncarnation: incarnation, inFlight: candidates.length }, "The engine has crashed.");
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

    /** Shares a report through the log, but holds the requests up no longer than is of use. */
    async function shareReport(report: CrashReport): Promise<void> {
        if (control === undefined) {
            return;
        }
        const cancellation = new AbortController();
        const command = create(CommandSchema, { command: { case: "crashReport", value: report } });
        const committed = control.execute(command).then(result => {
            if (result.kind !== "committed") {
                logger.warn({ reason: result.reason }, "A crash report was not shared.");
            }
        });
        await Promise.race([committed, clock.sleep(reportTimeoutMilliseconds, cancellation.signal)]);
        cancellation.abort();
    }
}
