/*
 * The ways in which a test's server resets a connection after a part of its answer.
 */
import type { Socket } from "node:net";

/** When and how the connection is reset. */
export type ResetKind = "later" | "at once" | "with unread bytes";

/** How long the process stands still so that its client sees the part and the reset in one turn, in milliseconds. */
const standstillMilliseconds = 30;
/** The pause before a reset that is seen after the part, in milliseconds. */
const pauseMilliseconds = 30;

/** Writes a part of an answer and resets the connection. */
export function endWithReset(socket: Socket, part: string, kind: ResetKind): void {
    socket.write(part);
    switch (kind) {
        case "later":
            setTimeout(() => socket.resetAndDestroy(), pauseMilliseconds);
            return;
        case "at once":
            setImmediate(() => {
                socket.resetAndDestroy();
                const end = performance.now() + standstillMilliseconds;
                while (performance.now() < end) {
                    // Blocks the event loop.
                }
            });
            return;
        case "with unread bytes":
            // The operating system resets a connection that is closed while bytes of the request are unread.
            setTimeout(() => socket.destroy(), pauseMilliseconds);
            return;
    }
}
