/*
 * Takes in the changes of other regions in their order: never an older one after a newer, and none over a gap.
 */
import { RegionImport } from "./RegionImport";
import { RegionImportOutcome } from "./RegionImportOutcome";
import { RegionImportState } from "./RegionImportState";

/** Creates the record of a group that has taken in nothing. */
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
