/*
 * Picks the crashes that say something about a part of prompts.
 */
import { Crash } from "./Crash";
import { EvidenceScope } from "./EvidenceScope";
import { getSeparateTimes } from "./getSeparateTimes";
import { getSubjectLimits } from "./getSubjectLimits";
import { hasBegun } from "./hasBegun";
import { SubjectKind } from "./SubjectKind";

/** How many times as many crashes accuse a part if no response had begun at them. */
const waitingFactor = 2;

/**
 * Gets the crashes of a part that accuse it: those at which a response had begun, since a part makes an engine crash once its
 * request begins. Where none had begun, the engine may have ended otherwise, or another entry process has not reported
 * what it had in flight; such crashes count only where there are many.
 * @param crashes - The crashes at which the part was in flight.
 * @param scope - Whose observations are known.
 */
export function getConclusiveCrashes(crashes: readonly Crash[], scope: EvidenceScope): readonly Crash[] {
    const { guiltyCrashes, commonCauseMilliseconds } = getSubjectLimits(SubjectKind.PromptPart);
    const begun = crashes.filter(hasBegun);
    const waiting = crashes.filter(crash => !hasBegun(crash));
    const isOften = getSeparateTimes(waiting, commonCauseMilliseconds).length >= waitingFactor * guiltyCrashes;
    return scope === EvidenceScope.AllEntries && isOften ? crashes : begun;
}
