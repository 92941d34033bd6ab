/*
 * The options of the feed state.
 */
import { DocumentDecoder } from "../documents";
import { Logger } from "../logging";
import { Clock } from "../runtime";

/** The options of an entry process's feed state. */
export interface FeedStateOptions {
    /** Decodes documents. */
    decode: DocumentDecoder;
    /** Measures the ages of the document and of the named weights. */
    clock: Clock;
    /** Logs new documents and those that can't be decoded. */
    logger: Logger;
}
