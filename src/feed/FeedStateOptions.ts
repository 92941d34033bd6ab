/*
 * What an entry's copy of control's state is made of.
 */
import { DocumentDecoder } from "../documents";
import { Logger } from "../logging";
import { Clock } from "../runtime";

/** The options of the state. */
export interface FeedStateOptions {
    /** Reads documents. */
    decode: DocumentDecoder;
    /** The passing of time. */
    clock: Clock;
    /** Where changes are logged. */
    logger: Logger;
}
