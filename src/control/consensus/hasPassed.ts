/*
 * For the users of a read barrier that wait or ask another member, whatever was missing.
 */
import { assertNever } from "../../errors";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/**
 * Returns whether the local state machine has applied all entries up to the read index.
 * @param outcome - The outcome of the read barrier.
 */
export function hasPassed(outcome: ReadBarrierOutcome): boolean {
    switch (outcome.kind) {
        case "passed":
            return true;
        case "noLeader":
        case "notApplied":
            return false;
        default:
            return assertNever(outcome);
    }
}
