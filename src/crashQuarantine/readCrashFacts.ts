/*
 * Adds the facts on crashes to the evidence of a control member.
 */
import { FactStore } from "../facts";
import { Clock } from "../runtime";
import { completionFactKind } from "./completionFactKind";
import { crashFactKind } from "./crashFactKind";
import { SubjectEvidence } from "./SubjectEvidence";

/**
 * Adds the crashes and completions that the control member knows.
 * @param facts - The facts of the control member.
 * @param evidence - The evidence.
 * @param clock - The clock of the facts.
 */
export function readCrashFacts(facts: FactStore, evidence: SubjectEvidence, clock: Clock): void {
    const now = clock.getMonotonicMilliseconds();
    for (const { key, timeMilliseconds, value } of facts.getAll(crashFactKind)) {
        evidence.addObservation({ ...value, reportId: key, ageMilliseconds: now - timeMilliseconds });
    }
    const completionsByReporter = new Map<string, Map<string, readonly number[]>>();
    for (const { key, reporter, timeMilliseconds, value } of facts.getAll(completionFactKind)) {
        const completions = completionsByReporter.get(reporter) ?? new Map<string, readonly number[]>();
        completions.set(key, value.map(age => age + now - timeMilliseconds));
        completionsByReporter.set(reporter, completions);
    }
    completionsByReporter.forEach((completions, reporter) => evidence.setCompletions(reporter, completions));
}
