/*
 * What accuses a subject of crashing backend servers.
 */
import { Crash } from "./Crash";

/** A subject with the unexplained crashes at which it was in flight. */
export interface Accusation {
    /** The subject. */
    subjectId: string;
    /** The crashes. */
    crashes: readonly Crash[];
    /** The times of the crashes, those of a common cause once. */
    times: readonly number[];
    /** How often requests with a part have completed since shortly before the first crash; 0 for whole requests. */
    completionCount: number;
}
