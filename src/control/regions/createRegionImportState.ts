/*
 * Imports the changes of other regions in the order of their revisions: never an older one after a newer one, and none
 * after a gap.
 */
import { RegionImport } from "./RegionImport";
import { RegionImportOutcome } from "./RegionImportOutcome";
import { RegionImportState } from "./RegionImportState";

/** Creates the state of a group that has not imported anything. */
export function createRegionImportState(): RegionImportState {
    const homeRevisions = new Map<string, bigint>();
    return { addImport, getHomeRevision };

    function addImport({ region, homeRevision, isComplete }: RegionImport): RegionImportOutcome {
        const importedRevision = getHomeRevision(region);
        if (homeRevision <= importedRevision) {
            return { kind: "stale" };
        }
        if (!isComplete && homeRevision !== importedRevision + 1n) {
            return { kind: "completeNeeded" };
        }
        homeRevisions.set(region, homeRevision);
        return { kind: "applied" };
    }

    function getHomeRevision(region: string): bigint {
        return homeRevisions.get(region) ?? 0n;
    }
}
