/*
 * Stops and resumes the reading of a request's connection. Pausing the request itself would not do: what has been read from the
 * connection is parsed nevertheless, and each chunk of one byte would be kept as an object.
 */
import type { IncomingMessage } from "node:http";

/** The flow of a request's bytes. */
interface Flow {
    /** Stops reading from the connection; what has been read still arrives. */
    pause(): void;
    /** Reads from the connection again. */
    resume(): void;
    /** Leaves the connection as it is to others. */
    release(): void;
    /** Returns whether reading has been stopped. */
    isPaused(): boolean;
}

/**
 * Takes control of the connection of a request.
 * @param request - The request, which is flowing.
 */
export function controlFlow(request: IncomingMessage): Flow {
    const { socket } = request;
    const read = request._read.bind(request);
    let isPaused = false;
    // Node.js reads from the connection again whenever the request is asked for more.
    request._read = size => {
        if (!isPaused) {
            read(size);
        }
    };
    return { pause, resume, release, isPaused: () => isPaused };

    function pause(): void {
        if (!isPaused) {
            isPaused = true;
            socket.pause();
            socket.on("resume", stopAgain);
        }
    }

    /** Node.js announces an earlier resumption only now, and reads from the connection, although it has been paused since. */
    function stopAgain(): void {
        socket.emit("pause");
    }

    function release(): void {
        socket.off("resume", stopAgain);
    }

    function resume(): void {
        if (isPaused) {
            isPaused = false;
            release();
            socket.resume();
        }
    }
}
