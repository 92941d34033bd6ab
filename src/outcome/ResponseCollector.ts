/*
 * Assembles the response of a plain service, which is stored with the claim of its request.
 */
import { DispatchEvent, StoredAnswer } from "../protocol";

/** Collects the events of one response. */
export interface ResponseCollector {
    /**
     * Adds the next event of the response.
     * @param event - The event; events other than the head, the body and the end are ignored.
     */
    addEvent(event: DispatchEvent["event"]): void;
    /** Gets the response to store, without its body where that is too long; undefined until it is complete. */
    getResponse(): StoredAnswer | undefined;
}
