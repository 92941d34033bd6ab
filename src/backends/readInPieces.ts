/*
 * Hands the bytes of a connection to undici in small pieces, and none while it is held. Its parser goes on through all that it
 * was handed after a limit was exceeded, and joins the lines of a trailer again and again. Its own pauses must not be used:
 * where the connection ends during one, an assertion fails that ends the process.
 */
import type { Socket } from "node:net";
import { PieceReader } from "./PieceReader";

/** The maximum size of a piece, in bytes. */
const pieceBytes = 4_096;

/**
 * Lets a connection be read in pieces, and no more once it was closed here.
 * @param socket - The connection, before it is handed to undici.
 * @param getMaximumBytes - Gets how many bytes may be handed over next; called before each piece.
 * @param onPiece - Called with the size of each piece that is handed over.
 */
export function readInPieces(
    socket: Socket,
    getMaximumBytes: () => number = () => pieceBytes,
    onPiece: (byteCount: number) => void = () => undefined,
): PieceReader {
    const read = socket.read.bind(socket);
    let isHeld = false;
    socket.read = readPiece;
    return { hold: () => void (isHeld = true), release };

    function readPiece(size?: number): Buffer | null {
        if (isHeld) {
            // Takes nothing, and lets more arrive up to the limit of the socket.
            return read(0) as null;
        }
        const maximumBytes = socket.readableLength > 0 ? getMaximumBytes() : pieceBytes;
        if (socket.destroyed && socket.readableLength > 0) {
            read(socket.readableLength);
        }
        const available = Math.min(pieceBytes, maximumBytes, socket.readableLength);
        const piece = read(size ?? (available > 0 ? available : undefined)) as Buffer | null;
        if (piece) {
            onPiece(piece.length);
        }
        return piece;
    }

    function release(): void {
        if (isHeld) {
            isHeld = false;
            socket.emit("readable");
        }
    }
}
