/*
 * Finds the subjects that crash backend servers: parts of prompts and whole requests. Observations of one crash by several
 * entry processes are joined, and the subject that was in flight at most crashes explains them all; the other subjects of
 * these crashes are accused only by crashes that remain. A subject is sound if requests with it complete often enough, or
 * if most crashes happen without it. Crashes at nearly the same moment count once, since they have a common cause, such as
 * the loss of a rack. How much evidence is needed depends on the kind of the subject.
 */
import { LRUCache } from "lru-cache";
import { Clock } from "../runtime";
import { Accusation } from "./Accusation";
import { compareAccusations } from "./compareAccusations";
import { Crash } from "./Crash";
import { CrashObservation } from "./CrashObservation";
import { EvidenceScope } from "./EvidenceScope";
import { getConclusiveCrashes } from "./getConclusiveCrashes";
import { getCrashCandidates } from "./getCrashCandidates";
import { getSeparateTimes } from "./getSeparateTimes";
import { getSubjectKind } from "./getSubjectKind";
import { getSubjectLimits } from "./getSubjectLimits";
import { groupCrashesBySubject } from "./groupCrashesBySubject";
import { GuiltySubject } from "./GuiltySubject";
import { hasBegun } from "./hasBegun";
import { hasLead } from "./hasLead";
import { isAmbiguous } from "./isAmbiguous";
import { SubjectEvidence } from "./SubjectEvidence";
import { SubjectKind } from "./SubjectKind";

/** How long crashes and completions are kept, in milliseconds: the longest time for which any kind counts them. */
const retentionMilliseconds = Math.max(
    ...Object.values(SubjectKind).map(kind => getSubjectLimits(kind).evidenceLifetimeMilliseconds),
);
/** The number of crashes at which a subject is a suspect. */
const minimumSuspectCrashes = 2;
/**
 * How long before the first crash a completion still speaks for a subject, in milliseconds. It is short, since a subject
 * may begin to crash backend servers with a change of theirs.
 */
const earlierCompletionMilliseconds = 3_000;
/**
 * The share of the other parts' completions for each crash that shows a part to be sound, where these are few themselves:
 * while backend servers keep crashing, any part completes rarely.
 */
const soundShareOfOthers = 0.5;
/** The minimum of the completions for each crash of a sound part, as a share of what its kind needs usually. */
const minimumSoundShare = 0.5;
/** Observations of a backend server's crash that lie closer together are of the same crash, in milliseconds. */
const sameCrashMilliseconds = 1_500;
/** How long observations of a crash may take to arrive, in milliseconds: the wait of a poll and some delay. */
const settlingMilliseconds = 600;
/** The maximum number of crashes; beyond it, the oldest are dropped. */
const maximumCrashes = 512;
/** The maximum number of suspects, which all entry processes receive. */
const maximumSuspects = 64;
/** The number of subjects whose completions are kept for each reporter; those named least recently are dropped. */
const maximumSubjectsPerReporter = 4_096;
/** The maximum number of reporters; beyond it, the completions of the one that has reported least recently are dropped. */
const maximumReporters = 2_048;

/**
 * Creates evidence without crashes.
 * @param clock - Measures the age of crashes.
 * @param scope - Whose observations are added; by default those of all entry processes.
 */
export function createSubjectEvidence(clock: Clock, scope = EvidenceScope.AllEntries): SubjectEvidence {
    const completionsByReporter = new Map<string, LRUCache<string, readonly number[]>>();
    let crashes: Crash[] = [];
    return { addObservation, setCompletions, getSuspects, getGuiltySubjects, explainCrashes };

    function addObservation(observation: CrashObservation): void {
        const { reportId, instanceId, ageMilliseconds, begunSubjectIds, waitingSubjectIds } = observation;
        if (crashes.some(crash => crash.reportIds.has(reportId)) || ageMilliseconds > retentionMilliseconds) {
            return;
        }
        const timeMilliseconds = clock.getMonotonicMilliseconds() - ageMilliseconds;
        const known = crashes.find(crash =>
            crash.instanceId === instanceId
            && Math.abs(crash.timeMilliseconds - timeMilliseconds) < sameCrashMilliseconds
        );
        if (known) {
            known.reportIds.add(reportId);
            known.timeMilliseconds = Math.min(known.timeMilliseconds, timeMilliseconds);
            begunSubjectIds.forEach(subjectId => known.begunSubjectIds.add(subjectId));
            waitingSubjectIds.forEach(subjectId => known.waitingSubjectIds.add(subjectId));
            return;
        }
        crashes = [...crashes, {
            instanceId,
            timeMilliseconds,
            reportIds: new Set([reportId]),
            begunSubjectIds: new Set(begunSubjectIds),
            waitingSubjectIds: new Set(waitingSubjectIds),
            explainedKinds: new Set<SubjectKind>(),
        }].slice(-maximumCrashes);
    }

    function setCompletions(reporter: string, completions: ReadonlyMap<string, readonly number[]>): void {
        const now = clock.getMonotonicMilliseconds();
        const times = new LRUCache<string, readonly number[]>({ max: maximumSubjectsPerReporter });
        for (const [subjectId, former] of completionsByReporter.get(reporter)?.entries() ?? []) {
            if (former.some(time => now - time < retentionMilliseconds)) {
                times.set(subjectId, former);
            }
        }
        completions.forEach((ages, subjectId) => times.set(subjectId, ages.map(age => now - age)));
        completionsByReporter.delete(reporter);
        if (times.size > 0) {
            completionsByReporter.set(reporter, times);
        }
        if (completionsByReporter.size > maximumReporters) {
            const [oldest] = completionsByReporter.keys();
            completionsByReporter.delete(oldest!);
        }
    }

    function getSuspects(): readonly string[] {
        return Object.values(SubjectKind)
            .flatMap(kind => getAccusations(kind, new Set()))
            .sort(compareAccusations)
            .slice(0, maximumSuspects)
            .map(({ subjectId }) => subjectId);
    }

    function getGuiltySubjects(): readonly GuiltySubject[] {
        return Object.values(SubjectKind).flatMap(getGuiltySubjectsOfKind);
    }

    function getGuiltySubjectsOfKind(kind: SubjectKind): readonly GuiltySubject[] {
        const guilty: GuiltySubject[] = [];
        const explained = new Set<Crash>();
        while (true) {
            const accusations = getAccusations(kind, explained).filter(accusation => !isDueToRequest(accusation));
            const [gravest, ...others] = accusations;
            if (!gravest) {
                return guilty;
            }
            const equals = [gravest, ...others.filter(other => compareAccusations(gravest, other) === 0)];
            const convicted = equals.filter(accusation =>
                isSettled(accusation, kind) && !isAmbiguous(accusation, equals)
                && (scope === EvidenceScope.AllEntries || hasLead(accusation, accusations))
            );
            if (convicted.length === 0) {
                return guilty;
            }
            for (const { subjectId, crashes: ownCrashes } of convicted) {
                guilty.push({ subjectId, instanceIds: ownCrashes.map(crash => crash.instanceId) });
                ownCrashes.forEach(crash => explained.add(crash));
            }
        }
    }

    function explainCrashes(subjectIds: ReadonlySet<string>): void {
        for (const crash of crashes) {
            const kinds = [...getCrashCandidates(crash)].filter(id => subjectIds.has(id)).map(getSubjectKind);
            if (kinds.includes(SubjectKind.PromptPart)) {
                crash.explainedKinds.add(SubjectKind.PromptPart);
            }
            if (kinds.length > 0) {
                crash.explainedKinds.add(SubjectKind.Request);
            }
        }
    }

    /** Returns whether enough crashes accuse a subject, all of whose observations have arrived. */
    function isSettled({ times }: Accusation, kind: SubjectKind): boolean {
        const { guiltyCrashes, ambiguousGuiltyCrashes } = getSubjectLimits(kind);
        const decisive = times[Math.min(times.length, ambiguousGuiltyCrashes) - 1];
        return decisive !== undefined && times.length >= guiltyCrashes
            && clock.getMonotonicMilliseconds() - decisive >= settlingMilliseconds;
    }

    /**
     * Returns whether too few crashes accuse a part beside those at which it was in flight together with one and the same
     * request, which was at enough of them to be guilty itself.
     */
    function isDueToRequest({ subjectId, crashes: partCrashes }: Accusation): boolean {
        if (getSubjectKind(subjectId) !== SubjectKind.PromptPart) {
            return false;
        }
        const { guiltyCrashes: partGuiltyCrashes } = getSubjectLimits(SubjectKind.PromptPart);
        return getGuiltyRequests(partCrashes).some(shared => partCrashes.length - shared.length < partGuiltyCrashes);
    }

    /** Gets the crashes of each request that was at enough of them to be guilty, and has not completed. */
    function getGuiltyRequests(among: readonly Crash[]): readonly (readonly Crash[])[] {
        const { guiltyCrashes } = getSubjectLimits(SubjectKind.Request);
        return [...groupCrashesBySubject(among, SubjectKind.Request)]
            .filter(([requestId, ownCrashes]) =>
                ownCrashes.length >= guiltyCrashes
                && !hasCompletedOften(requestId, SubjectKind.Request, ownCrashes)
            )
            .map(([, ownCrashes]) => ownCrashes);
    }

    /** Gets the crashes that accuse a part: not those of guilty requests that were at others without it. */
    function getAccusingCrashes(
        partId: string,
        partCrashes: readonly Crash[],
        guiltyRequests: readonly (readonly Crash[])[],
    ): readonly Crash[] {
        const explaining = guiltyRequests.filter(ownCrashes =>
            ownCrashes.some(crash => !getCrashCandidates(crash).has(partId))
        );
        return partCrashes.filter(crash => !explaining.some(ownCrashes => ownCrashes.includes(crash)));
    }

    /**
     * Gets the subjects with several crashes that are not known as sound, with their unexplained crashes, the most accused
     * ones first.
     */
    function getAccusations(kind: SubjectKind, explained: ReadonlySet<Crash>): readonly Accusation[] {
        const { evidenceLifetimeMilliseconds, commonCauseMilliseconds } = getSubjectLimits(kind);
        const now = clock.getMonotonicMilliseconds();
        crashes = crashes.filter(({ timeMilliseconds }) => now - timeMilliseconds < retentionMilliseconds);
        const openCrashes = crashes.filter(crash =>
            !crash.explainedKinds.has(kind) && !explained.has(crash)
            && now - crash.timeMilliseconds < evidenceLifetimeMilliseconds
        );
        const isPart = kind === SubjectKind.PromptPart;
        const guiltyRequests = isPart ? getGuiltyRequests(crashes) : [];
        const accusations = [...groupCrashesBySubject(openCrashes, kind)]
            .map(([subjectId, ownCrashes]) => {
                const accusing = isPart
                    ? getConclusiveCrashes(getAccusingCrashes(subjectId, ownCrashes, guiltyRequests), scope)
                    : ownCrashes;
                const times = getSeparateTimes(accusing, commonCauseMilliseconds);
                return {
                    subjectId,
                    crashes: accusing,
                    times,
                    completionCount: isPart ? getCompletionCount(subjectId, times) : 0,
                };
            })
            .filter(({ times }) => times.length >= minimumSuspectCrashes);
        return accusations
            .filter(accusation => !isSound(accusation, kind, openCrashes, getSoundShare(accusation, kind, accusations)))
            .sort(compareAccusations);
    }

    /**
     * Gets how many completions for each crash show a subject to be sound, as a share of what its kind needs usually. Parts
     * are compared with the others that were at crashes, since they have many requests each.
     */
    function getSoundShare(accusation: Accusation, kind: SubjectKind, all: readonly Accusation[]): number {
        const others = all.filter(other => other !== accusation);
        if (kind !== SubjectKind.PromptPart || others.length === 0) {
            return 1;
        }
        const { soundCompletionsPerCrash } = getSubjectLimits(kind);
        const shares = others
            .map(({ completionCount, times }) => completionCount / (soundCompletionsPerCrash * times.length))
            .sort((left, right) => left - right);
        const median = shares[Math.floor(shares.length / 2)]!;
        return Math.min(1, Math.max(minimumSoundShare, soundShareOfOthers * median));
    }

    function isSound(
        accusation: Accusation,
        kind: SubjectKind,
        openCrashes: readonly Crash[],
        soundShare: number,
    ): boolean {
        const { subjectId, crashes: ownCrashes, times } = accusation;
        const { commonCauseMilliseconds, minimumCrashShare } = getSubjectLimits(kind);
        const comparable = ownCrashes.every(hasBegun) ? openCrashes.filter(hasBegun) : openCrashes;
        const laterCrashes = comparable.filter(crash => crash.timeMilliseconds >= times[0]!);
        const crashCount = getSeparateTimes(laterCrashes, commonCauseMilliseconds).length;
        return hasCompletedOften(subjectId, kind, ownCrashes, soundShare)
            || times.length < minimumCrashShare * crashCount;
    }

    /** Returns whether requests with a subject have completed as often as its kind needs for these crashes, or a share of it. */
    function hasCompletedOften(
        subjectId: string,
        kind: SubjectKind,
        ownCrashes: readonly Crash[],
        soundShare = 1,
    ): boolean {
        const { commonCauseMilliseconds, soundCompletionsPerCrash } = getSubjectLimits(kind);
        const times = getSeparateTimes(ownCrashes, commonCauseMilliseconds);
        return getCompletionCount(subjectId, times) >= soundShare * soundCompletionsPerCrash * times.length;
    }

    /** Gets how often requests with a subject have completed since shortly before its first crash. */
    function getCompletionCount(subjectId: string, times: readonly number[]): number {
        return [...completionsByReporter.values()]
            .flatMap(completions => completions.get(subjectId) ?? [])
            .filter(time => time >= times[0]! - earlierCompletionMilliseconds)
            .length;
    }
}
