/*
 * What a group has taken in from other regions.
 */
import { RegionImport } from "./RegionImport";
import { RegionImportOutcome } from "./RegionImportOutcome";

/** The changes taken in, by home region; a part of the replicated state, the same at every member. */
export interface RegionImportState {
    /** Decides on a change of another region, and notes it where it is applied. */
    addImport(regionImport: RegionImport): RegionImportOutcome;
    /** Gets how far a home region's changes are here. */
    getHomeRevision(region: string): bigint;
}
