/*
 * Hands the bytes of a connection to undici in small pieces. Its parser goes on through all that it was handed after a limit
 * was exceeded, and joins the lines of a trailer again and again.
 */
import type { Socket } from "node:net";

/** The maximum size of a piece, in bytes. */
const pieceBytes = 4_096;

/**
 * Lets a connection be read in pieces, and no more once it was closed here.
 * @param socket - The connection, before it is handed to undici.
 * @param onPiece - Called with the size of each piece that is handed over.
 */
export function readInPieces(socket: Socket, onPiece: (byteCount: number) => void = () => undefined): void {
    const read = socket.read.bind(socket);
    socket.read = readPiece;

    function readPiece(size?: number): Buffer | null {
        if (socket.destroyed && socket.readableLength > 0) {
            read(socket.readableLength);
        }
        const available = Math.min(pieceBytes, socket.readableLength);
        const piece = read(size ?? (available > 0 ? available : undefined)) as Buffer | null;
        if (piece) {
            onPiece(piece.length);
        }
        return piece;
    }
}
