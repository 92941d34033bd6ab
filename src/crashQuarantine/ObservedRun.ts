/*
 * One attempt of a request at a backend server, as the crash observer follows it.
 */
import { LossCause } from "./LossCause";

/** A run that is in flight until it completes, is lost or ends otherwise; only the first of these counts. */
export interface ObservedRun {
    /** Records that the response has begun; at a plain service this says nothing of what the request does there. */
    recordBegin(): void;
    /** Records that the whole response was received. */
    complete(): void;
    /**
     * Records that the response was lost or broke off: the backend server may have crashed.
     * @param cause - What showed it.
     */
    lose(cause: LossCause): void;
    /** Records an end that says nothing about the backend server. */
    end(): void;
}
