/*
 * What became of one attempt at a backend server.
 */
import { HttpResponseHead } from "./HttpResponseHead";
import { LoadReport } from "./LoadReport";

/** The outcome of an attempt. */
export type AttemptResult =
    /** No connection came about: the request was never sent. */
    | { kind: "notSent"; reason: string; }
    /** The backend server says that it did not run the request. */
    | {
        kind: "notRun";
        /** Whether the address or the weights are not the expected ones. */
        isMisdirected: boolean;
        /** The instance that answered, where it says so. */
        answeredBy: string | undefined;
        status: number;
        retryAfterMilliseconds: number | undefined;
        load: LoadReport | undefined;
    }
    /** The request was sent, and no answer to it came: it may have run. */
    | { kind: "lost"; reason: string; }
    /** The backend server answers. */
    | {
        kind: "answered";
        head: HttpResponseHead;
        load: LoadReport | undefined;
        /** The body as it arrives; ends with the answer, whether it is complete or not. */
        body: AsyncIterable<Uint8Array>;
        /** Tells, after the body's end, whether all of it came. */
        isComplete(): boolean;
    };
