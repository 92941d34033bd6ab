/*
 * The set of sidecars whose majority can give peer confirmation, as a part of the replicated state.
 */
import { CompanionSet } from "../../protocol";
import { StateMachinePart } from "../StateMachinePart";

/** The replicated sidecar set, with the set before its last change. */
export interface SidecarSetPart extends StateMachinePart {
    /** Gets the set as the message that processes get; the same object until the next change. */
    getSet(): CompanionSet;
    /** Gets the sidecars in the set by instance id, each with the incarnation that it had when it was added. */
    getMembers(): ReadonlyMap<string, string>;
    /** Gets the sidecars in the set before the last change. */
    getFormerMembers(): ReadonlyMap<string, string>;
    /**
     * Adds a listener that is called after each change.
     * @returns A function that removes the listener.
     */
    addListener(listener: () => void): () => void;
}
