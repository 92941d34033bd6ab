/*
 * The import progress of a control group for each other region.
 */
import { RegionImport } from "./RegionImport";
import { RegionImportOutcome } from "./RegionImportOutcome";

/** The newest imported revision of each home region; part of the replicated state, and thus equal on all members. */
export interface RegionImportState {
    /**
     * Decides whether a change of another region is applied, and if so records its revision.
     * @param regionImport - The change.
     */
    addImport(regionImport: RegionImport): RegionImportOutcome;
    /**
     * Gets the newest imported revision of a home region; 0 if none has been imported.
     * @param region - The home region.
     */
    getHomeRevision(region: string): bigint;
}
