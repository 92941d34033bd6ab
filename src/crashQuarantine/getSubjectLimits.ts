/*
 * The limits of each kind of subjects.
 */
import { assertNever } from "../errors";
import { SubjectKind } from "./SubjectKind";
import { SubjectLimits } from "./SubjectLimits";

/**
 * Parts of prompts are in flight at a backend server many at a time, and more than a sound part and the retries of its
 * requests run into must be seen. Several parts may be guilty.
 */
const promptPartLimits: SubjectLimits = {
    evidenceLifetimeMilliseconds: 60_000,
    guiltyCrashes: 4,
    ambiguousGuiltyCrashes: 4,
    commonCauseMilliseconds: 100,
    soundCompletionsPerCrash: 1,
    minimumCrashShare: 0.2,
};

/**
 * A request is in flight at one backend server at a time, so that crashes shortly after one another are separate ones,
 * under two of its attempts. Its caller may take its time until it comes again.
 */
const requestLimits: SubjectLimits = {
    evidenceLifetimeMilliseconds: 600_000,
    guiltyCrashes: 3,
    ambiguousGuiltyCrashes: 4,
    commonCauseMilliseconds: 10,
    soundCompletionsPerCrash: 2,
    minimumCrashShare: 0,
};

/**
 * Gets the limits of a kind of subjects.
 * @param kind - The kind.
 */
export function getSubjectLimits(kind: SubjectKind): SubjectLimits {
    switch (kind) {
        case SubjectKind.PromptPart:
            return promptPartLimits;
        case SubjectKind.Request:
            return requestLimits;
        default:
            return assertNever(kind);
    }
}
