/*
 * This control member's leadership of the replicated log.
 */
import { Stoppable } from "../../runtime";

/** The member's leadership of the replicated log. */
export interface Leadership extends Stoppable {
    /** Tells whether this member certainly leads now and has applied everything that former leaders committed. */
    isAssured(): boolean;
    /** Gets the newest term that this member has seen. */
    getTerm(): bigint;
    /** Gets how long this member has led the current term, in milliseconds; 0 while it does not lead. */
    getAgeMilliseconds(): number;
    /**
     * Adds a listener that is called when this member leads a term and has applied everything committed before it, and
     * when it has ceased to lead.
     * @returns A function that removes the listener.
     */
    addListener(listener: () => void): () => void;
}
