/*
 * Puts a plain service's answer together, to be kept with its claim.
 */
import { DispatchEvent, StoredAnswer } from "../protocol";

/** Collects one answer. */
export interface ResponseCollector {
    /** Takes the answer's next event in. */
    addEvent(event: DispatchEvent["event"]): void;
    /** Gets the answer to keep, without its body where that is too long; undefined until it is whole. */
    getResponse(): StoredAnswer | undefined;
}
