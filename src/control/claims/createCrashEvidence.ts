/*
 * Keeps, for each unexplained crash, the requests that may have caused it. A request that completes is removed from the
 * candidates of every crash. A request that is convicted explains all of its crashes, which clears the other requests
 * that were in flight at them. The candidates of the remaining crashes narrow down until one is left.
 */
import { create } from "@bufbuild/protobuf";
import { UnexplainedCrash, UnexplainedCrashSchema } from "../../protocol";
import { CrashEvidence } from "./CrashEvidence";
import { QuarantineLimits } from "./QuarantineLimits";

const minimumSuspectCrashes = 2;

interface Crash {
    companion: string;
    backendIncarnation: string;
    timeMilliseconds: bigint;
    candidates: Set<string>;
}

/**
 * Creates evidence without any crashes.
 * @param limits - How many crashes are kept, and how many candidates of a crash are suspects at once.
 */
export function createCrashEvidence(limits: QuarantineLimits): CrashEvidence {
    let crashes: Crash[] = [];
    const crashesByCandidate = new Map<string, Set<Crash>>();
    return {
        addCrash,
        getCrashCount,
        isSuspect,
        clearSuspicion,
        convict,
        discardBefore,
        getCandidates: () => crashesByCandidate.keys(),
        getCrashes,
        restoreCrashes,
    };

    function addCrash(reported: UnexplainedCrash): void {
        const { companion, backendIncarnation, timeMilliseconds } = reported;
        const candidates = new Set(reported.candidates.map(candidate => Buffer.from(candidate).toString("hex")));
        const crash: Crash = { companion, backendIncarnation, timeMilliseconds, candidates };
        crashes.push(crash);
        for (const candidate of candidates) {
            const candidateCrashes = crashesByCandidate.get(candidate) ?? new Set();
            crashesByCandidate.set(candidate, candidateCrashes.add(crash));
        }
        if (crashes.length > limits.maximumRetainedCrashes) {
            removeCrash(crashes[0]!);
        }
    }

    function getCrashCount(fingerprint: string): number {
        return crashesByCandidate.get(fingerprint)?.size ?? 0;
    }

    function isSuspect(fingerprint: string): boolean {
        const candidateCrashes = [...crashesByCandidate.get(fingerprint) ?? []];
        return candidateCrashes.length >= minimumSuspectCrashes
            || candidateCrashes.some(crash => crash.candidates.size <= limits.maximumImmediateSuspects);
    }

    function clearSuspicion(fingerprint: string): void {
        const candidateCrashes = crashesByCandidate.get(fingerprint) ?? [];
        crashesByCandidate.delete(fingerprint);
        for (const crash of candidateCrashes) {
            crash.candidates.delete(fingerprint);
            if (crash.candidates.size === 0) {
                removeCrash(crash);
            }
        }
    }

    function convict(fingerprint: string): void {
        for (const crash of [...crashesByCandidate.get(fingerprint) ?? []]) {
            removeCrash(crash);
        }
    }

    function discardBefore(timeMilliseconds: number): void {
        while (crashes.length > 0 && Number(crashes[0]!.timeMilliseconds) < timeMilliseconds) {
            removeCrash(crashes[0]!);
        }
    }

    function removeCrash(crash: Crash): void {
        crashes = crashes.filter(other => other !== crash);
        for (const candidate of crash.candidates) {
            const candidateCrashes = crashesByCandidate.get(candidate);
            candidateCrashes?.delete(crash);
            if (candidateCrashes?.size === 0) {
                crashesByCandidate.delete(candidate);
            }
        }
    }

    function getCrashes(): readonly UnexplainedCrash[] {
        return crashes.map(crash =>
            create(UnexplainedCrashSchema, {
                ...crash,
                candidates: [...crash.candidates].map(candidate => Buffer.from(candidate, "hex")),
            })
        );
    }

    function restoreCrashes(restored: readonly UnexplainedCrash[]): void {
        crashes = [];
        crashesByCandidate.clear();
        restored.forEach(addCrash);
    }
}
