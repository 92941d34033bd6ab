/*
 * The limit on bytes of a response that are of no use.
 */
import { PieceReader } from "./PieceReader";
import { ResponsePart } from "./ResponsePart";

/** The limit on one connection, and what controls its reading. */
export interface UnusedByteLimit extends PieceReader {
    /** Records that a part of a response has been read, from which on the bytes count anew. */
    recordRead(part: ResponsePart): void;
}
