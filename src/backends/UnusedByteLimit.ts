/*
 * The limit on bytes of a response that are of no use.
 */
import { ResponsePart } from "./ResponsePart";

/** The limit on one connection. */
export interface UnusedByteLimit {
    /** Records that a part of a response has been read, from which on the bytes count anew. */
    recordRead(part: ResponsePart): void;
}
