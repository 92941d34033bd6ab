/*
 * Finds the gate of a connection, through which all that pause it have to go: one that resumes it must not end the pause of another.
 * Pausing a request in place of its connection would not do: what has been read from the connection is parsed nevertheless, and each
 * chunk of one byte would be kept as an object.
 */
import type { Socket } from "node:net";
import { ReadGate } from "./ReadGate";
import { ReadPause } from "./ReadPause";

const gates = new WeakMap<Socket, ReadGate>();

/**
 * Gets the gate of a connection of an HTTP server; it is created with the first use.
 * @param socket - The connection.
 */
export function getReadGate(socket: Socket): ReadGate {
    const gate = gates.get(socket) ?? createReadGate(socket);
    gates.set(socket, gate);
    return gate;
}

function createReadGate(socket: Socket): ReadGate {
    const reasons = new Set<ReadPause>();
    let isReleased = false;
    return { pause, resume, release, isPaused: reason => reasons.has(reason) };

    function pause(reason: ReadPause): void {
        if (isReleased || reasons.has(reason)) {
            return;
        }
        reasons.add(reason);
        if (reasons.size === 1) {
            socket.pause();
            socket.on("resume", stopAgain);
        }
    }

    /** Node.js reads on whenever a request on the connection is asked for more. It may announce that after a later pause. */
    function stopAgain(): void {
        socket.pause();
        socket.emit("pause");
    }

    function resume(reason: ReadPause): void {
        if (reasons.delete(reason) && reasons.size === 0) {
            socket.off("resume", stopAgain);
            socket.resume();
        }
    }

    function release(): void {
        isReleased = true;
        if (reasons.size > 0) {
            reasons.clear();
            socket.off("resume", stopAgain);
        }
    }
}
