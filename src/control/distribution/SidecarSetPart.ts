/*
 * The sidecars whose majority may vouch, as a part of the replicated state.
 */
import { CompanionSet } from "../../protocol";
import { StateMachinePart } from "../StateMachinePart";

/** The replicated set of sidecars, with the one before it. */
export interface SidecarSetPart extends StateMachinePart {
    /** Gets the set as processes are told of it; the same message until the next change. */
    getSet(): CompanionSet;
    /** Gets the sidecars in the set, each with the incarnation that it had when it was added. */
    getMembers(): ReadonlyMap<string, string>;
    /** Gets the sidecars in the set before the last change. */
    getFormerMembers(): ReadonlyMap<string, string>;
    /**
     * Adds a listener that is called after each change.
     * @returns A function that removes the listener.
     */
    addListener(listener: () => void): () => void;
}
