/*
 * Where a prompt's shared beginnings may be found.
 */
import { FleetInstance } from "../protocol";
import { PrefixHolders } from "./PrefixHolders";

/** The engines that may hold a prompt's beginnings, the chosen one left out. */
export interface PrefixSources {
    /** The beginnings, the longest first, with where this entry knows them to be. */
    prefixes: readonly PrefixHolders[];
    /** The engine that is most likely to hold the longest one, by the hashing that all entries share. */
    likelyHolder: FleetInstance | undefined;
    /** Whether that is the engine which all entries prefer for it. */
    isLikelyHolderPrimary: boolean;
}
