/*
 * The end of a response, as it is logged. The fields are logged under their own names.
 */
import { ResponseFraming } from "./ResponseFraming";

/** How the body of a response ended. */
export interface ResponseEnd {
    /** What marks the end of the body. */
    framing: ResponseFraming;
    /** Whether the whole body was received. */
    isComplete: boolean;
    /** The bytes received after the last whole event; undefined where the response is not a stream of events. */
    bytesAfterLastEvent?: number;
}
