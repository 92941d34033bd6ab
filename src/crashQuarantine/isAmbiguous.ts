/*
 * Decides whether a subject can be told from another one that was at the same crashes.
 */
import { Accusation } from "./Accusation";
import { getSubjectKind } from "./getSubjectKind";
import { getSubjectLimits } from "./getSubjectLimits";

/**
 * Returns whether another subject is accused as often, of some of the same crashes, which are few.
 * @param accusation - The accusation of the subject.
 * @param equals - The accusations of as many crashes.
 */
export function isAmbiguous(accusation: Accusation, equals: readonly Accusation[]): boolean {
    const { ambiguousGuiltyCrashes } = getSubjectLimits(getSubjectKind(accusation.subjectId));
    return accusation.times.length < ambiguousGuiltyCrashes
        && equals.some(other =>
            other !== accusation && other.crashes.some(crash => accusation.crashes.includes(crash))
        );
}
