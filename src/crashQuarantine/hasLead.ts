/*
 * Decides whether a part is more suspicious than the others that were at the same crashes.
 */
import { Accusation } from "./Accusation";
import { getSubjectKind } from "./getSubjectKind";
import { SubjectKind } from "./SubjectKind";

/** The number of crashes that accuse a part even if others were at as many, where a part of the evidence is known. */
const crashesWithoutLead = 6;

/**
 * Returns whether a part is accused of more crashes than the others that were at some of them: the fewer crashes, the more
 * of a lead it takes to accuse it by a part of the evidence.
 * @param accusation - The accusation of the part; a request needs no lead.
 * @param all - All accusations of its kind.
 */
export function hasLead({ subjectId, crashes, times }: Accusation, all: readonly Accusation[]): boolean {
    const others = all.filter(other =>
        other.subjectId !== subjectId && other.crashes.some(crash => crashes.includes(crash))
    );
    const mostOfOthers = Math.max(0, ...others.map(other => other.times.length));
    return getSubjectKind(subjectId) !== SubjectKind.PromptPart
        || times.length - mostOfOthers >= crashesWithoutLead - times.length;
}
