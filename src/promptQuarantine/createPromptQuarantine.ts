/*
 * Applies the quarantine that control members decide. Without contact to them an entry process also decides by the
 * crashes that it has seen itself; once it has contact again, their decision alone holds.
 */
import { FeedState } from "../feed";
import { FleetView } from "../protocol";
import { CrashObserverOptions } from "./CrashObserverOptions";
import { CrashReport } from "./CrashReport";
import { createCrashObserver } from "./createCrashObserver";
import { createPartEvidence } from "./createPartEvidence";
import { PromptQuarantine } from "./PromptQuarantine";

/** How long the feed may be without a confirmation before the entry process decides by itself, in milliseconds. */
const maximumFeedAgeMilliseconds = 2_000;
const ownReporter = "self";

interface PromptQuarantineOptions extends CrashObserverOptions {
    /** Provides the decisions of the control members. */
    state: Pick<FeedState, "getFleet" | "getDocumentAgeMilliseconds">;
}

/**
 * Creates the quarantine of an entry process.
 * @param options - The options of the crash observer, and the state that was received from control.
 */
export function createPromptQuarantine(options: PromptQuarantineOptions): PromptQuarantine {
    const { incarnation, state, clock } = options;
    const observer = createCrashObserver(options);
    const ownEvidence = createPartEvidence(clock);
    let view: FleetView | undefined;
    let quarantinedIds: ReadonlySet<string> = new Set();
    let suspectedIds: ReadonlySet<string> = new Set();
    return { isQuarantined, isSuspected, beginRun: observer.beginRun, getReport };

    function isQuarantined(partIds: readonly string[]): boolean {
        readView();
        if (partIds.some(id => quarantinedIds.has(id))) {
            return true;
        }
        const isCutOff = state.getDocumentAgeMilliseconds() > maximumFeedAgeMilliseconds;
        return isCutOff && partIds.length > 0 && getOwnGuiltyIds().some(id => partIds.includes(id));
    }

    function isSuspected(partIds: readonly string[]): boolean {
        readView();
        return partIds.some(id => suspectedIds.has(id));
    }

    /** Reads the sets of the newest fleet view. */
    function readView(): void {
        const newest = state.getFleet();
        if (newest !== view) {
            view = newest;
            quarantinedIds = new Set(newest?.quarantinedParts);
            suspectedIds = new Set(newest?.suspectedParts);
        }
    }

    function getOwnGuiltyIds(): readonly string[] {
        const { observations, completions } = getReport();
        if (observations.length === 0) {
            return [];
        }
        observations.forEach(ownEvidence.addObservation);
        ownEvidence.setCompletions(ownReporter, completions);
        return ownEvidence.getGuiltyParts().map(({ partId }) => partId);
    }

    function getReport(): CrashReport {
        readView();
        const observations = observer.getObservations();
        const accusedIds = new Set([
            ...suspectedIds,
            ...observations.flatMap(({ begunPartIds, waitingPartIds }) => [...begunPartIds, ...waitingPartIds]),
        ]);
        return { incarnation, observations, completions: observer.getCompletions(accusedIds) };
    }
}
