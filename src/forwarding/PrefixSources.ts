/*
 * The engines from which a prompt's shared prefixes may be fetched.
 */
import { FleetInstance } from "../protocol";
import { PrefixHolders } from "./PrefixHolders";

/** The engines that may hold a prompt's shared prefixes, without the engine that was chosen for the prompt. */
export interface PrefixSources {
    /** The prefixes, the longest first, with the engines to which this entry process sent them. */
    prefixes: readonly PrefixHolders[];
    /**
     * The engine that is most likely to hold the longest one, by the rendezvous hashing that all entry processes share.
     */
    likelyHolder: FleetInstance | undefined;
    /** Whether `likelyHolder` ranks above the chosen engine, and so is the prefix's primary owner. */
    isLikelyHolderPrimary: boolean;
}
