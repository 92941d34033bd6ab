/*
 * The exchange of facts between an entry process and the leader of the control members.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Exchanges facts with the polls of the feed. */
export interface FactSync {
    /** Gets the fields of a poll: the facts that the leader may lack. */
    createPollFields(): Pick<PollRequest, "factStoreId" | "factPosition" | "facts">;
    /** Reads the response to the poll whose fields were created last. */
    readResponse(response: PollResponse): void;
    /**
     * Adds a listener of facts of this process that the leader should learn at once.
     * @param listener - Called after such a fact was published or withdrawn.
     * @returns Removes the listener.
     */
    addUrgentListener(listener: () => void): () => void;
}
