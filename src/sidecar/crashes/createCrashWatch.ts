/*
 * Tells an engine's crash from a lost connection, and reports which requests were in flight at it.
 */
import { create } from "@bufbuild/protobuf";
import { CommandSchema, CrashReport, CrashReportSchema } from "../../protocol";
import { CrashWatch } from "./CrashWatch";
import { CrashWatchOptions } from "./CrashWatchOptions";
import { InFlightRequest } from "./InFlightRequest";

const reportTimeoutMilliseconds = 1_000;
const maximumCrashesRemembered = 16;

/** Creates the crash watch of a sidecar. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
    const { adapter, clock, control, instanceId, logger } = options;
    const inFlight = new Set<InFlightRequest>();
    const checks = new Map<string, Promise<boolean>>();
    return {
        addRequest: request => inFlight.add(request),
        removeRequest: request => inFlight.delete(request),
        checkCrash,
    };

    function checkCrash(request: InFlightRequest): Promise<boolean> {
        const incarnation = request.backendIncarnation;
        const check = checks.get(incarnation) ?? startCheck(incarnation);
        checks.set(incarnation, check);
        if (checks.size > maximumCrashesRemembered) {
            const [oldest] = checks.keys();
            checks.delete(oldest!);
        }
        return check;
    }

    /** Keeps those in flight at this moment, before others of them end. */
    function startCheck(incarnation: string): Promise<boolean> {
        const candidates = [...inFlight].filter(request => request.backendIncarnation === incarnation);
        return confirm(incarnation, candidates);
    }

    async function confirm(incarnation: string, candidates: readonly InFlightRequest[]): Promise<boolean> {
        const load = await adapter.getLoad();
        if (load?.incarnation === incarnation) {
            checks.delete(incarnation);
            return false;
        }
        logger.warn({ backendIncarnation: incarnation, inFlight: candidates.length }, "The engine has crashed.");
        await share(createReport(incarnation, candidates));
        return true;
    }

    function createReport(incarnation: string, candidates: readonly InFlightRequest[]): CrashReport {
        return create(CrashReportSchema, {
            companion: instanceId,
            backendIncarnation: incarnation,
            fingerprints: candidates.map(candidate => candidate.fingerprint),
            ranAlone: candidates.length === 1 && candidates[0]!.isAlone,
        });
    }

    /** Shares a report through the log, but holds the requests up no longer than is of use. */
    async function share(report: CrashReport): Promise<void> {
        if (control === undefined) {
            return;
        }
        const done = new AbortController();
        const command = create(CommandSchema, { command: { case: "crashReport", value: report } });
        const committed = control.execute(command).then(result => {
            if (result.kind !== "committed") {
                logger.warn({ reason: result.reason }, "A crash report was not shared.");
            }
        });
        await Promise.race([committed, clock.sleep(reportTimeoutMilliseconds, done.signal)]);
        done.abort();
    }
}
