/*
 * Limits the bytes of a response that are neither its head nor its body: header and trailer lines, chunk extensions and empty
 * lines without end.
 */
import type { Socket } from "node:net";
import { maximumHeaderBytes } from "./maximumHeaderBytes";
import { readInPieces } from "./readInPieces";
import { ResponsePart } from "./ResponsePart";
import { UnusedByteLimit } from "./UnusedByteLimit";

/** The maximum number of bytes between two parts of a body, and behind the last one. */
const maximumFramingBytes = 2_048;

/**
 * Closes a connection on which too many bytes arrive that are of no use.
 * @param socket - The connection, before it is handed to undici.
 */
export function limitUnusedBytes(socket: Socket): UnusedByteLimit {
    let maximumBytes = maximumHeaderBytes;
    let unusedBytes = 0;
    const reader = readInPieces(socket, getMaximumBytes, byteCount => unusedBytes += byteCount);
    return { ...reader, recordRead };

    /** Closes the connection where no more bytes may follow; what the last piece held has been recorded by now. */
    function getMaximumBytes(): number {
        if (unusedBytes >= maximumBytes) {
            socket.destroy(new Error(`${unusedBytes} bytes without a part of a response`));
        }
        return maximumBytes - unusedBytes;
    }

    function recordRead(part: ResponsePart): void {
        unusedBytes = 0;
        maximumBytes = part === ResponsePart.None ? maximumHeaderBytes : maximumFramingBytes;
    }
}
