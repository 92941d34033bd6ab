/*
 * A store of the outcomes of the most recent changes, limited by their number. A change that is retried after its
 * outcome was dropped can't be applied twice either, since the revision that it expects is no longer the newest.
 */
import { ChangeOutcomeStore } from "./ChangeOutcomeStore";
import { configurationLimits } from "./configurationLimits";
import { StoredChangeOutcome } from "./StoredChangeOutcome";

/** Creates an empty store. */
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
        newOutcomes.forEach(outcome => outcomesByChangeId.set(outcome.changeId, outcome));
    }
}
