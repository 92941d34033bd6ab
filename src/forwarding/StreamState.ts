/*
 * What the caller has received of a stream.
 */
import { HttpResponseHead } from "./HttpResponseHead";

/** The state of a stream, which its runs continue. */
export interface StreamState {
    /** The id of the last event; undefined before one with an id. */
    lastEventId: number | undefined;
    /** The head of the response; undefined before the first event. */
    startedHead: HttpResponseHead | undefined;
    /** Whether another backend server can continue the stream, by the events so far. */
    isResumable: boolean;
}
