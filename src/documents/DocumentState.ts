/*
 * The state machine that the replicated log of routing documents drives.
 */
import { StateMachine } from "../control/consensus";
import { NamedWeightsVersion } from "./NamedWeightsVersion";
import { QuarantinedSubject } from "./QuarantinedSubject";

/** The replicated state: the newest document, the weights versions that operators have named, and the quarantine. */
export interface DocumentState extends StateMachine {
    /** Gets the newest document's version; 0 if there is none. */
    getVersion(): number;
    /** Gets the newest document as the operator sent it; empty if there is none. */
    getText(): Uint8Array;
    /** Gets the weights versions that were named most recently, in ascending order for each model. */
    getNamedWeights(): readonly NamedWeightsVersion[];
    /** Gets the subjects that are in quarantine or were released, the oldest first. */
    getQuarantinedSubjects(): readonly QuarantinedSubject[];
    /** Gets the number of changes since the process started. */
    getChangeCount(): number;
    /**
     * Adds a listener that is called after each change.
     * @param listener - The listener.
     * @returns A function that removes the listener.
     */
    addListener(listener: () => void): () => void;
}
