/*
 * The first answers to the latest changes, bounded by their number. A change that is sent again after its answer was
 * dropped can't be applied twice either: the revision that it expects has passed.
 */
import { ChangeOutcomeStore } from "./ChangeOutcomeStore";
import { configurationLimits } from "./configurationLimits";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** Creates an empty store of answers. */
export function createChangeOutcomeStore(): ChangeOutcomeStore {
    const outcomesByChangeId = new Map<string, StoredChangeOutcome>();
    return {
        getOutcome: changeId => outcomesByChangeId.get(changeId),
        addOutcome,
        getOutcomes: () => [...outcomesByChangeId.values()],
        replaceOutcomes,
    };

    function addOutcome(outcome: StoredChangeOutcome): void {
        outcomesByChangeId.set(outcome.changeId, outcome);
        if (outcomesByChangeId.size <= configurationLimits.maximumStoredOutcomes) {
            return;
        }
        const [oldestId] = outcomesByChangeId.keys();
        outcomesByChangeId.delete(oldestId!);
    }

    function replaceOutcomes(newOutcomes: readonly StoredChangeOutcome[]): void {
        outcomesByChangeId.clear();
        newOutcomes.forEach(answer => outcomesByChangeId.set(answer.changeId, answer));
    }
}
