/*
 * Applies the quarantine that control members decide. Without contact to them an entry process also decides by the
 * crashes that it knows: its own, and those of others that it has heard of. That is a part of the evidence, so that it is
 * judged with more care; once there is contact again, the members' decision alone holds.
 */
import { FactStore } from "../facts";
import { FeedState } from "../feed";
import { FleetInstance, FleetView } from "../protocol";
import { CrashObserverOptions } from "./CrashObserverOptions";
import { CrashQuarantine } from "./CrashQuarantine";
import { CrashReport } from "./CrashReport";
import { createCrashObserver } from "./createCrashObserver";
import { createSubjectEvidence } from "./createSubjectEvidence";
import { createSubjectSet } from "./createSubjectSet";
import { EvidenceScope } from "./EvidenceScope";
import { publishCrashReport } from "./publishCrashReport";
import { readCrashFacts } from "./readCrashFacts";
import { RunSubjects } from "./RunSubjects";
import { SubjectSet } from "./SubjectSet";

/** How long the feed may be without a confirmation before the entry process decides by itself, in milliseconds. */
const maximumFeedAgeMilliseconds = 2_000;
/** How long a decision of the entry process itself is used, in milliseconds: the evidence takes time to evaluate. */
const ownDecisionMilliseconds = 100;

interface CrashQuarantineOptions extends Omit<CrashObserverOptions, "getSuspectedRequestIds" | "getListedInstance"> {
    /** Provides the decisions of the control members. */
    state: Pick<FeedState, "getFleet" | "getDocumentAgeMilliseconds">;
    /** The facts of the entry process, also those of others that it keeps. */
    facts: FactStore;
}

/**
 * Creates the quarantine of an entry process.
 * @param options - The options of the crash observer, and the state that was received from control.
 */
export function createCrashQuarantine(options: CrashQuarantineOptions): CrashQuarantine {
    const { incarnation, state, facts, clock } = options;
    const observer = createCrashObserver({ ...options, getSuspectedRequestIds, getListedInstance });
    const evidence = createSubjectEvidence(clock, EvidenceScope.SomeEntries);
    let view: FleetView | undefined;
    let quarantined = createSubjectSet([]);
    let suspected = createSubjectSet([]);
    let ownDecision = createSubjectSet([]);
    let ownDecisionTimeMilliseconds = -Infinity;
    return { isQuarantined, isSuspected, beginRun: observer.beginRun, getReport };

    function isQuarantined(subjects: RunSubjects): boolean {
        readView();
        if (quarantined.hasAny(subjects)) {
            return true;
        }
        const isCutOff = state.getDocumentAgeMilliseconds() > maximumFeedAgeMilliseconds;
        return isCutOff && getOwnDecision().hasAny(subjects);
    }

    function getOwnDecision(): SubjectSet {
        const now = clock.getMonotonicMilliseconds();
        if (now - ownDecisionTimeMilliseconds >= ownDecisionMilliseconds) {
            ownDecision = createSubjectSet(getKnownGuiltyIds());
            ownDecisionTimeMilliseconds = now;
        }
        return ownDecision;
    }

    function isSuspected(subjects: RunSubjects): boolean {
        readView();
        return suspected.hasAny(subjects);
    }

    function getListedInstance(instanceId: string): FleetInstance | undefined {
        return state.getFleet()?.instances.find(instance => instance.instanceId === instanceId);
    }

    function getSuspectedRequestIds(): ReadonlySet<string> {
        readView();
        return suspected.requestIds;
    }

    /** Reads the sets of the newest fleet view. */
    function readView(): void {
        const newest = state.getFleet();
        if (newest !== view) {
            view = newest;
            quarantined = createSubjectSet(newest?.quarantinedSubjects ?? []);
            suspected = createSubjectSet(newest?.suspectedSubjects ?? []);
        }
    }

    /** Gets the subjects that are guilty by the crashes that this process knows, less those of known guilty ones. */
    function getKnownGuiltyIds(): readonly string[] {
        publishCrashReport(facts, getReport(), clock);
        readCrashFacts(facts, evidence, clock);
        evidence.explainCrashes(new Set(view?.quarantinedSubjects));
        return evidence.getGuiltySubjects().map(({ subjectId }) => subjectId);
    }

    function getReport(): CrashReport {
        readView();
        const observations = observer.getObservations();
        const observedIds = observations.flatMap(crash => [...crash.begunSubjectIds, ...crash.waitingSubjectIds]);
        const accusedIds = new Set([...suspected.partIds, ...suspected.requestIds, ...observedIds]);
        return { incarnation, observations, completions: observer.getCompletions(accusedIds) };
    }
}
