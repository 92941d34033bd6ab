/*
 * The part of the replicated state that holds the quarantine of requests that crash engines. A suspect gets one
 * trial at a time in the whole group, in which it runs alone on its engine. A crash during the trial convicts the
 * request, which is then refused for some time; a completed trial clears it.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    Command,
    CommandResult,
    CrashReport,
    EndTrial,
    QuarantineEntry,
    QuarantineEntrySchema,
    QuarantineRecord,
    QuarantineRecordSchema,
    QuarantineResultSchema,
    QuarantineSnapshotSchema,
    QueryKind,
    ReleaseQuarantine,
    RequestTrial,
    TrialVerdict,
    UnexplainedCrashSchema,
} from "../../protocol";
import { ApplyContext } from "../consensus";
import { createEventHistory } from "../createEventHistory";
import { decodeEvents } from "../decodeEvents";
import { encodeEvents } from "../encodeEvents";
import { EventKind } from "../EventKind";
import { createCrashEvidence } from "./createCrashEvidence";
import { defaultQuarantineLimits } from "./defaultQuarantineLimits";
import { getQuarantineJson } from "./getQuarantineJson";
import { maximumRetainedEvents } from "./maximumRetainedEvents";
import { QuarantineLimits } from "./QuarantineLimits";
import { QuarantinePart } from "./QuarantinePart";

const maximumRetainedReportIds = 4_096;
const trialPollIntervalMilliseconds = 1_000;

type Result = CommandResult["result"];

/**
 * Creates the quarantine part of an empty group of control members.
 * @param limits - How long evidence counts; must be the same at every control member.
 */
export function createQuarantinePart(limits: QuarantineLimits = defaultQuarantineLimits): QuarantinePart {
    const evidence = createCrashEvidence(limits);
    const entries = new Map<string, QuarantineEntry>();
    const reportIds = new Set<string>();
    const eventHistory = createEventHistory(maximumRetainedEvents);
    let timeMilliseconds = 0;
    let changeNumber = 0;
    return {
        name: "quarantine",
        apply,
        query,
        takeSnapshot,
        restoreSnapshot,
        getRecords,
        getChangeNumber: () => changeNumber,
        getEvents: eventHistory.getEvents,
    };

    function apply(command: Command, context: ApplyContext): Result | undefined {
        switch (command.command.case) {
            case "crashReport":
                return applyChange(context, () => applyCrashReport(command.command.value as CrashReport, context));
            case "requestTrial":
                return applyChange(context, () => requestTrial(command.command.value as RequestTrial, context));
            case "endTrial":
                return applyChange(context, () => endTrial(command.command.value as EndTrial));
            case "releaseQuarantine":
                return applyChange(context, () => release(command.command.value as ReleaseQuarantine, context));
            default:
                return undefined;
        }
    }

    function applyChange(context: ApplyContext, applyCommand: () => Result): Result {
        timeMilliseconds = Math.max(timeMilliseconds, context.timeMilliseconds);
        discardExpired();
        changeNumber++;
        return applyCommand();
    }

    function applyCrashReport(report: CrashReport, context: ApplyContext): Result {
        const reportId = `${report.companion}/${report.backendIncarnation}`;
        const fingerprints = [...new Set(report.fingerprints.map(toHex))];
        if (reportIds.has(reportId)) {
            return createResult(fingerprints);
        }
        addReportId(reportId);
        if (report.ranAlone && fingerprints.length === 1) {
            convict(fingerprints[0]!, context);
        }
        else if (fingerprints.length > 0 && !fingerprints.some(isQuarantined)) {
            evidence.addCrash(create(UnexplainedCrashSchema, {
                companion: report.companion,
                backendIncarnation: report.backendIncarnation,
                timeMilliseconds: BigInt(timeMilliseconds),
                candidates: fingerprints.map(fromHex),
            }));
        }
        return createResult(fingerprints);
    }

    function addReportId(reportId: string): void {
        reportIds.add(reportId);
        if (reportIds.size > maximumRetainedReportIds) {
            const [oldest] = reportIds;
            reportIds.delete(oldest!);
        }
    }

    function convict(fingerprint: string, context: ApplyContext): void {
        const convictions = (entries.get(fingerprint)?.convictions ?? 0) + 1;
        const durationMilliseconds = Math.min(
            limits.initialQuarantineMilliseconds * 2 ** (convictions - 1),
            limits.maximumQuarantineMilliseconds,
        );
        const quarantineEndMilliseconds = timeMilliseconds + durationMilliseconds;
        evidence.convict(fingerprint);
        entries.set(
            fingerprint,
            create(QuarantineEntrySchema, {
                fingerprint: fromHex(fingerprint),
                quarantinedUntilMilliseconds: BigInt(quarantineEndMilliseconds),
                rememberedUntilMilliseconds: BigInt(quarantineEndMilliseconds + limits.convictionRetentionMilliseconds),
                convictions,
            }),
        );
        const text = `quarantined until ${
            new Date(quarantineEndMilliseconds).toISOString()
        }, for the ${convictions}. time`;
        eventHistory.addEvent(context, EventKind.RequestQuarantined, fingerprint, text);
    }

    function requestTrial(request: RequestTrial, context: ApplyContext): Result {
        const fingerprint = toHex(request.fingerprint);
        const entry = entries.get(fingerprint);
        if (isQuarantined(fingerprint)) {
            return createQuarantinedResult(fingerprint);
        }
        if (!isSuspect(fingerprint)) {
            return createResult([fingerprint], TrialVerdict.RUN);
        }
        if (entry === undefined || entry.trialRequestId === "" || entry.trialRequestId === request.requestId) {
            return startTrial(fingerprint, request, entry?.lostTrials ?? 0);
        }
        if (Number(entry.trialExpiresMilliseconds) > timeMilliseconds) {
            return createResult([fingerprint], TrialVerdict.WAIT, trialPollIntervalMilliseconds);
        }
        if (entry.lostTrials + 1 >= limits.maximumLostTrials) {
            convict(fingerprint, context);
            return createQuarantinedResult(fingerprint);
        }
        return startTrial(fingerprint, request, entry.lostTrials + 1);
    }

    function startTrial(fingerprint: string, request: RequestTrial, lostTrials: number): Result {
        const expiresMilliseconds = timeMilliseconds + request.lifetimeMilliseconds;
        const previous = entries.get(fingerprint);
        const retainedUntilMilliseconds = Math.max(
            Number(previous?.rememberedUntilMilliseconds ?? 0n),
            expiresMilliseconds + limits.suspicionRetentionMilliseconds,
        );
        entries.set(
            fingerprint,
            create(QuarantineEntrySchema, {
                fingerprint: request.fingerprint,
                convictions: previous?.convictions ?? 0,
                quarantinedUntilMilliseconds: previous?.quarantinedUntilMilliseconds ?? 0n,
                rememberedUntilMilliseconds: BigInt(retainedUntilMilliseconds),
                trialRequestId: request.requestId,
                trialExpiresMilliseconds: BigInt(expiresMilliseconds),
                lostTrials,
            }),
        );
        return createResult([fingerprint], TrialVerdict.RUN_ALONE);
    }

    function endTrial(ended: EndTrial): Result {
        const fingerprint = toHex(ended.fingerprint);
        const entry = entries.get(fingerprint);
        if (ended.completed) {
            evidence.clearSuspicion(fingerprint);
            if (!isQuarantined(fingerprint)) {
                entries.delete(fingerprint);
            }
        }
        else if (entry?.trialRequestId === ended.requestId) {
            entry.trialRequestId = "";
            entry.trialExpiresMilliseconds = 0n;
        }
        return createResult([fingerprint]);
    }

    function release(request: ReleaseQuarantine, context: ApplyContext): Result {
        const fingerprint = toHex(request.fingerprint);
        const previous = getRecord(fingerprint);
        evidence.clearSuspicion(fingerprint);
        entries.delete(fingerprint);
        if (previous !== undefined) {
            eventHistory.addEvent(context, EventKind.QuarantineReleased, fingerprint, `released by ${request.author}`);
        }
        return { case: "quarantine", value: create(QuarantineResultSchema, { records: previous ? [previous] : [] }) };
    }

    function isQuarantined(fingerprint: string): boolean {
        return Number(entries.get(fingerprint)?.quarantinedUntilMilliseconds ?? 0n) > timeMilliseconds;
    }

    function isSuspect(fingerprint: string): boolean {
        const entry = entries.get(fingerprint);
        const hasConvictionOrLostTrial = entry !== undefined && (entry.convictions > 0 || entry.lostTrials > 0);
        return hasConvictionOrLostTrial || evidence.isSuspect(fingerprint);
    }

    function discardExpired(): void {
        evidence.discardBefore(timeMilliseconds - limits.suspicionRetentionMilliseconds);
        for (const [fingerprint, entry] of entries) {
            if (Number(entry.rememberedUntilMilliseconds) <= timeMilliseconds) {
                entries.delete(fingerprint);
            }
        }
    }

    function getRecords(): readonly QuarantineRecord[] {
        const fingerprints = new Set([...entries.keys(), ...evidence.getCandidates()]);
        return [...fingerprints].map(getRecord).filter(record => record !== undefined);
    }

    function getRecord(fingerprint: string): QuarantineRecord | undefined {
        const entry = entries.get(fingerprint);
        const crashes = evidence.getCrashCount(fingerprint);
        if (entry === undefined && crashes === 0) {
            return undefined;
        }
        return create(QuarantineRecordSchema, {
            fingerprint: fromHex(fingerprint),
            crashes: crashes + (entry?.convictions ?? 0),
            suspect: isSuspect(fingerprint),
            quarantined: isQuarantined(fingerprint),
            expiresMilliseconds: entry?.quarantinedUntilMilliseconds ?? 0n,
        });
    }

    function createQuarantinedResult(fingerprint: string): Result {
        const quarantineEndMilliseconds = Number(entries.get(fingerprint)!.quarantinedUntilMilliseconds);
        return createResult([fingerprint], TrialVerdict.QUARANTINED, quarantineEndMilliseconds - timeMilliseconds);
    }

    function createResult(
        fingerprints: readonly string[],
        verdict = TrialVerdict.UNSPECIFIED,
        waitMilliseconds = 0,
    ): Result {
        const records = fingerprints.map(getRecord).filter(record => record !== undefined);
        const value = create(QuarantineResultSchema, {
            records,
            verdict,
            waitMilliseconds: BigInt(Math.ceil(waitMilliseconds)),
        });
        return { case: "quarantine", value };
    }

    function query(kind: QueryKind): unknown {
        return kind === QueryKind.QUARANTINE ? getRecords().map(getQuarantineJson) : undefined;
    }

    function takeSnapshot(): Uint8Array {
        const snapshot = create(QuarantineSnapshotSchema, {
            timeMilliseconds: BigInt(timeMilliseconds),
            crashes: [...evidence.getCrashes()],
            entries: [...entries.values()],
            reported: [...reportIds],
            events: encodeEvents(eventHistory.getEvents()),
        });
        return toBinary(QuarantineSnapshotSchema, snapshot);
    }

    function restoreSnapshot(bytes: Uint8Array): void {
        const snapshot = fromBinary(QuarantineSnapshotSchema, bytes);
        timeMilliseconds = Number(snapshot.timeMilliseconds);
        evidence.restoreCrashes(snapshot.crashes);
        entries.clear();
        snapshot.entries.forEach(entry => entries.set(toHex(entry.fingerprint), entry));
        reportIds.clear();
        snapshot.reported.forEach(reportId => reportIds.add(reportId));
        eventHistory.replaceEvents(decodeEvents(snapshot.events));
        changeNumber++;
    }
}

function toHex(fingerprint: Uint8Array): string {
    return Buffer.from(fingerprint).toString("hex");
}

function fromHex(fingerprint: string): Uint8Array {
    return new Uint8Array(Buffer.from(fingerprint, "hex"));
}
