/*
 * Publishes what an entry process has seen of crashes as facts.
 */
import { FactStore } from "../facts";
import { Clock } from "../runtime";
import { completionFactKind } from "./completionFactKind";
import { crashFactKind } from "./crashFactKind";
import { CrashReport } from "./CrashReport";

/** Ages that differ by less than this are of the same moment, in milliseconds: they are rounded. */
const roundingMilliseconds = 5;

/**
 * Publishes the crashes that were not published before, and the completions that have changed.
 * @param facts - The facts of the entry process.
 * @param report - What the entry process knows.
 * @param clock - The clock of the facts.
 */
export function publishCrashReport(facts: FactStore, { observations, completions }: CrashReport, clock: Clock): void {
    for (const { reportId, ageMilliseconds, ...details } of observations) {
        if (!facts.getOwn(crashFactKind, reportId)) {
            facts.publish(crashFactKind, reportId, details, ageMilliseconds);
        }
    }
    const now = clock.getMonotonicMilliseconds();
    for (const [subjectId, ages] of completions) {
        const published = facts.getOwn(completionFactKind, subjectId);
        const elapsed = now - (published?.timeMilliseconds ?? 0);
        const isPublished = published !== undefined && published.value.length === ages.length
            && published.value.every((...[age, index]) =>
                Math.abs(age + elapsed - ages[index]!) < roundingMilliseconds
            );
        if (!isPublished) {
            facts.publish(completionFactKind, subjectId, ages);
        }
    }
}
