/*
 * The response to a caller, independent of the protocol that carries it.
 */
import { HttpResponseHead } from "./HttpResponseHead";
import { Refusal } from "./Refusal";

/** Writes one response to a caller. */
export interface CallerReply {
    /** Sends a whole response. */
    send(head: HttpResponseHead, body: Uint8Array): void;
    /** Starts a response whose body follows. */
    start(head: HttpResponseHead): void;
    /** Sends a part of the body; resolves once more can be written without unbounded buffering. */
    write(bytes: Uint8Array): Promise<void>;
    /** Ends the body as complete. */
    end(): void;
    /**
     * Aborts the response, so that the caller sees that it is incomplete.
     * @param reason - Why it can't be completed.
     */
    abort(reason?: string): void;
    /** Sends a refusal. */
    refuse(refusal: Refusal): void;
}
