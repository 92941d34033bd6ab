/*
 * The result of one attempt at a backend server.
 */
import { RequestLimit } from "../serverLimits";
import { HttpResponseHead } from "./HttpResponseHead";
import { LoadReport } from "./LoadReport";
import { ResponseFraming } from "./ResponseFraming";

/** The result of an attempt. */
export type AttemptResult =
    /** The request was not sent, for instance because no connection could be established. */
    | {
        kind: "notSent";
        reason: string;
        /** Whether it is due to this process or to the request, so that the backend server has not failed; false by default. */
        isServerSound?: boolean;
    }
    /** The backend server states that it did not run the request. */
    | {
        kind: "notRun";
        /** Whether the instance or the weights at the address are not the expected ones. */
        isMisdirected: boolean;
        /** The id of the instance that responded; undefined where the response does not name it. */
        answeredBy: string | undefined;
        /** The HTTP status. */
        status: number;
        /** How long to wait before another attempt, in milliseconds; undefined where the response does not say. */
        retryAfterMilliseconds: number | undefined;
        /** The load that the instance reported with the response. */
        load: LoadReport | undefined;
        /** The limit that the instance named with the response. */
        requestLimit: RequestLimit;
    }
    /** The request was sent but no response was received: it may have run. */
    | { kind: "lost"; reason: string; }
    /** The backend server responds. */
    | {
        kind: "answered";
        /** The response's status and headers. */
        head: HttpResponseHead;
        /** The load that the instance reported with the response. */
        load: LoadReport | undefined;
        /** The limit that the instance named with the response. */
        requestLimit: RequestLimit;
        /** The body as it arrives; ends with the response, whether that is complete or not. */
        body: AsyncIterable<Uint8Array>;
        /**
         * Counts bytes of the body that its reader keeps until the response has ended. Where all responses together need too
         * much memory, the largest is given up.
         */
        hold(bytes: number): void;
        /** What marks the end of the body. */
        framing: ResponseFraming;
        /** Returns, after the body has ended, whether all of it was received. */
        isComplete(): boolean;
        /** Gives the rest of the response up, and closes its connection; no effect once the response has ended. */
        cancel(): void;
    };
