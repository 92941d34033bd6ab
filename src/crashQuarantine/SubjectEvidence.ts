/*
 * The evidence of which subjects crash backend servers.
 */
import { CrashObservation } from "./CrashObservation";
import { GuiltySubject } from "./GuiltySubject";

/** Joins what entry processes have seen of crashes. */
export interface SubjectEvidence {
    /** Adds an observation; one that was added before changes nothing. */
    addObservation(observation: CrashObservation): void;
    /**
     * Replaces what a reporter has seen of requests that ran to their end, for the subjects that it names.
     * @param reporter - Identifies the entry process and its start.
     * @param completions - How long ago requests with a subject completed, in milliseconds.
     */
    setCompletions(reporter: string, completions: ReadonlyMap<string, readonly number[]>): void;
    /** Gets the subjects that may have caused several crashes, those of most crashes first. */
    getSuspects(): readonly string[];
    /** Gets the subjects that crash backend servers, by the crashes so far. */
    getGuiltySubjects(): readonly GuiltySubject[];
    /**
     * Takes the crashes at which subjects were in flight for explained, so that they accuse no other ones any longer. A
     * request explains its crashes for other requests only, since several requests may crash servers by a part of theirs.
     * @param subjectIds - The subjects, which were quarantined or released.
     */
    explainCrashes(subjectIds: ReadonlySet<string>): void;
}
