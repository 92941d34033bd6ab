/*
 * The answer's way to the caller.
 */
import { HttpResponseHead } from "./HttpResponseHead";
import { Refusal } from "./Refusal";

/** Writes one answer to a caller. */
export interface CallerReply {
    /** Sends a whole answer. */
    send(head: HttpResponseHead, body: Uint8Array): void;
    /** Begins an answer whose body follows. */
    start(head: HttpResponseHead): void;
    /** Sends a part of the body; resolves once the caller has room for more. */
    write(bytes: Uint8Array): Promise<void>;
    /** Ends the body as complete. */
    end(): void;
    /** Breaks the answer off, so that it can't look complete. */
    abort(): void;
    /** Sends a refusal. */
    refuse(refusal: Refusal): void;
}
