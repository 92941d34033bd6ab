/*
 * Requests a trial from the replicated log for each request that may have crashed an engine. Where the control members
 * can't be reached, the entry decides by the crashes that it has observed itself: it runs the request once more, alone,
 * and refuses it for a limited time after another crash.
 */
import { create } from "@bufbuild/protobuf";
import { LRUCache } from "lru-cache";
import { getErrorMessage } from "../../errors";
import {
    Command,
    CommandSchema,
    QuarantineRecord,
    QuarantineResult,
    RefusalReason,
    TrialVerdict,
} from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { QuarantineDecision } from "./QuarantineDecision";
import { QuarantineGate } from "./QuarantineGate";
import { QuarantineGateOptions } from "./QuarantineGateOptions";

const localRecordLifetimeMilliseconds = 600_000;
const maximumLocalRecords = 10_000;
const localQuarantineCrashes = 2;
const maximumWaitMilliseconds = 10_000;
const retryAfterMilliseconds = 2_000;
const maximumTrialMilliseconds = 300_000;

/** Creates the quarantine gate of an entry. */
export function createQuarantineGate(options: QuarantineGateOptions): QuarantineGate {
    const { clock, control, logger, view } = options;
    const localCrashes = new LRUCache<string, number>({
        max: maximumLocalRecords,
        ttl: localRecordLifetimeMilliseconds,
    });
    return { check, endTrial };

    async function check(
        request: AdmittedRequest,
        crashCount: number,
        signal: AbortSignal,
    ): Promise<QuarantineDecision> {
        const recordKey = getRecordKey(request);
        if (crashCount > 0) {
            localCrashes.set(recordKey, (localCrashes.get(recordKey) ?? 0) + 1);
        }
        const record = view?.getRecord(request.fingerprint);
        const quarantinedMilliseconds = record === undefined ? 0 : getQuarantineMilliseconds(record);
        if (quarantinedMilliseconds > 0) {
            return refuseQuarantined(quarantinedMilliseconds);
        }
        if (crashCount === 0 && record?.suspect !== true && !localCrashes.has(recordKey)) {
            return { kind: "run" };
        }
        return await requestTrial(request, signal) ?? decideLocally(recordKey);
    }

    /**
     * Requests a trial, and waits for a limited time where another delivery of the request has it.
     * @returns The decision, which is a refusal where the wait ends; undefined where the control members can't be
     * reached.
     */
    async function requestTrial(
        request: AdmittedRequest,
        signal: AbortSignal,
    ): Promise<QuarantineDecision | undefined> {
        const start = clock.getMonotonicMilliseconds();
        while (!signal.aborted) {
            const result = await execute(createTrialRequest(request));
            if (result === undefined) {
                return undefined;
            }
            if (result.verdict !== TrialVerdict.WAIT) {
                return getDecision(result);
            }
            const waitedMilliseconds = clock.getMonotonicMilliseconds() - start;
            if (waitedMilliseconds >= maximumWaitMilliseconds) {
                break;
            }
            await clock.sleep(Number(result.waitMilliseconds), signal);
        }
        const message = "The request may have crashed an engine, and its trial is under way.";
        return { kind: "refused", refusal: { reason: RefusalReason.SUSPECTED, message, retryAfterMilliseconds } };
    }

    function createTrialRequest(request: AdmittedRequest): Command {
        const remainingMilliseconds = request.deadlineMilliseconds - clock.getMonotonicMilliseconds();
        const lifetimeMilliseconds = Math.ceil(Math.max(1, Math.min(remainingMilliseconds, maximumTrialMilliseconds)));
        const { fingerprint, requestId } = request;
        const value = { fingerprint, requestId, lifetimeMilliseconds };
        return create(CommandSchema, { command: { case: "requestTrial", value } });
    }

    async function execute(command: Command): Promise<QuarantineResult | undefined> {
        const executed = await control?.execute(command);
        if (executed?.kind !== "committed" || executed.result.result.case !== "quarantine") {
            return undefined;
        }
        return executed.result.result.value;
    }

    function getDecision(result: QuarantineResult): QuarantineDecision {
        switch (result.verdict) {
            case TrialVerdict.QUARANTINED:
                return refuseQuarantined(Number(result.waitMilliseconds));
            case TrialVerdict.RUN_ALONE:
                return { kind: "runAlone" };
            default:
                return { kind: "run" };
        }
    }

    /** Decides by the crashes that this entry has observed itself. */
    function decideLocally(recordKey: string): QuarantineDecision {
        const crashes = localCrashes.get(recordKey) ?? 0;
        return crashes >= localQuarantineCrashes
            ? refuseQuarantined(localRecordLifetimeMilliseconds)
            : { kind: "runAlone" };
    }

    function endTrial(request: AdmittedRequest, isCompleted: boolean): void {
        if (isCompleted) {
            localCrashes.delete(getRecordKey(request));
        }
        const { fingerprint, requestId } = request;
        const value = { fingerprint, requestId, completed: isCompleted };
        execute(create(CommandSchema, { command: { case: "endTrial", value } })).catch((error: unknown) => {
            logger.warn(
                { requestId, problem: getErrorMessage(error) },
                "end of a trial could not be reported to the control members",
            );
        });
    }

    /** Gets the remaining time of a record's quarantine, in milliseconds; not positive where it has ended. */
    function getQuarantineMilliseconds(record: QuarantineRecord): number {
        return record.quarantined ? Number(record.expiresMilliseconds) - clock.getWallMilliseconds() : 0;
    }
}

function getRecordKey(request: AdmittedRequest): string {
    return Buffer.from(request.fingerprint).toString("hex");
}

function refuseQuarantined(waitMilliseconds: number): QuarantineDecision {
    const message = "The request is in quarantine, since it has crashed engines.";
    return {
        kind: "refused",
        refusal: { reason: RefusalReason.QUARANTINED, message, retryAfterMilliseconds: waitMilliseconds },
    };
}
