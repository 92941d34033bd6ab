/*
 * Limits the memory of heads of requests that have arrived in part. Addresses clients that send heads without their end on many
 * connections; Node.js keeps the parts until the time for a head is over.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { Logger } from "../logging";
import { CounterName, Metrics } from "../metrics";
import { Clock } from "../runtime";

/** The share of the memory of a process that parts of heads may occupy. */
const memoryShare = 1 / 20;
/** The interval of the checks, in milliseconds. */
const checkMilliseconds = 250;
/** How soon after another a check follows where connections are accepted, in milliseconds; each reads all connections. */
const acceptCheckMilliseconds = 20;

/** Log lines about refused heads are at least this far apart, in milliseconds. */
const logMilliseconds = 1_000;

/** A connection without a request in progress. */
interface WaitingConnection {
    /** The bytes that had been read when the former request ended. */
    formerBytes: number;
    /** When a part of a head was first found, on the monotonic clock, in milliseconds. */
    sinceMilliseconds: number | undefined;
}

/** The options. */
interface HeadLimitOptions {
    /** The server. */
    server: Server;
    /** The memory of the process, in bytes; undefined for no limit. */
    memoryBytes: number | undefined;
    /** Refuses the head on a connection, and closes the connection. */
    refuseHead(socket: Socket): void;
    /** The clock by which the age of heads is taken. */
    clock: Clock;
    /** Counts refused heads. */
    metrics: Metrics;
    /** The logger for refused heads. */
    logger: Logger;
}

/**
 * Limits the heads on the connections that a server accepts from now on; those that have been unfinished for longest are refused first.
 * @param options - The server and the memory.
 */
export function limitUnfinishedHeads(options: HeadLimitOptions): void {
    const { server, memoryBytes, refuseHead, clock, metrics, logger } = options;
    if (memoryBytes === undefined) {
        return;
    }
    const maximumBytes = memoryShare * memoryBytes;
    const connections = new Map<Socket, WaitingConnection>();
    /** The requests in progress on each connection. */
    const openCounts = new WeakMap<Socket, number>();
    let checkedMilliseconds = -Infinity;
    let loggedMilliseconds = -Infinity;
    let unloggedCount = 0;
    server.on("connection", socket => {
        connections.set(socket, { formerBytes: 0, sinceMilliseconds: undefined });
        socket.on("close", () => connections.delete(socket));
        if (clock.getMonotonicMilliseconds() - checkedMilliseconds >= acceptCheckMilliseconds) {
            check();
        }
    });
    server.prependListener("request", (request, response) => {
        const { socket } = request;
        connections.delete(socket);
        openCounts.set(socket, (openCounts.get(socket) ?? 0) + 1);
        response.on("finish", () => {
            if (request.complete) {
                endRequest(socket);
            }
            else {
                // The rest of its body is no head.
                request.once("close", () => endRequest(socket));
            }
        });
    });
    const timer = setInterval(check, checkMilliseconds);
    timer.unref();
    server.on("close", () => clearInterval(timer));

    function endRequest(socket: Socket): void {
        const openCount = (openCounts.get(socket) ?? 1) - 1;
        openCounts.set(socket, openCount);
        if (openCount === 0 && !socket.destroyed) {
            connections.set(socket, { formerBytes: socket.bytesRead, sinceMilliseconds: undefined });
        }
    }

    function check(): void {
        checkedMilliseconds = clock.getMonotonicMilliseconds();
        let totalBytes = 0;
        for (const [socket, connection] of connections) {
            const bytes = socket.bytesRead - connection.formerBytes;
            totalBytes += bytes;
            connection.sinceMilliseconds = bytes > 0 ? connection.sinceMilliseconds ?? checkedMilliseconds : undefined;
        }
        if (totalBytes <= maximumBytes) {
            return;
        }
        const unfinished = [...connections].filter(([, { sinceMilliseconds }]) => sinceMilliseconds !== undefined)
            .sort(([, left], [, right]) => left.sinceMilliseconds! - right.sinceMilliseconds!);
        const unfinishedBytes = totalBytes;
        for (const [socket, { formerBytes }] of unfinished) {
            if (totalBytes <= maximumBytes) {
                break;
            }
            totalBytes -= socket.bytesRead - formerBytes;
            connections.delete(socket);
            metrics.addCount(CounterName.HeadsRefusedForMemory);
            unloggedCount += 1;
            refuseHead(socket);
        }
        if (checkedMilliseconds - loggedMilliseconds >= logMilliseconds) {
            logger.info({ refusedCount: unloggedCount, unfinishedBytes, maximumBytes }, "refused heads");
            loggedMilliseconds = checkedMilliseconds;
            unloggedCount = 0;
        }
    }
}
