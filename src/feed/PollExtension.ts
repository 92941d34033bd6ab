/*
 * What travels with the polls of an entry process besides documents, fleet views and facts.
 */
import { PollRequest, PollResponse } from "../protocol";

/** Adds fields to polls, and reads the responses to them. */
export interface PollExtension {
    /** Gets the fields of a poll that is about to be sent. */
    createPollFields(): Partial<Pick<PollRequest, "quotaReporter" | "workspaceUsages">>;
    /** Called before the state of the feed takes over a response of the leader, which renews the contact. */
    prepareResponse(): void;
    /** Reads a response of the leader. */
    readResponse(response: PollResponse): void;
    /**
     * Adds a listener that is called when a poll must be sent at once.
     * @returns Removes the listener.
     */
    addUrgentListener(listener: () => void): () => void;
}
