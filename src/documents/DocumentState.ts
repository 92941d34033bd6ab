/*
 * What the log of whole documents carries.
 */
import { StateMachine } from "../control/consensus";
import { NamedWeightsVersion } from "./NamedWeightsVersion";

/** The replicated state: the newest document and the weights named for each model. */
export interface DocumentState extends StateMachine {
    /** Gets the newest document's version; 0 where there is none. */
    getVersion(): number;
    /** Gets the newest document as the operator sent it. */
    getText(): Uint8Array;
    /** Gets the versions of weights that were named last, of each model in ascending order. */
    getNamedWeights(): readonly NamedWeightsVersion[];
    /** Gets a number that grows with each change since the process started. */
    getChangeCount(): number;
    /** Adds a listener that is called after each change. */
    addListener(listener: () => void): () => void;
}
