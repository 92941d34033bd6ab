/*
 * Limits the memory of heads of requests. Addresses clients that send heads without their end, or without the body that they
 * state, on many connections. Node.js keeps the parts until the time for a head is over, and a whole head until the response ends.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Logger } from "../logging";
import { CounterName, Metrics } from "../metrics";
import { Clock } from "../runtime";
import { getHeadBytes } from "./getHeadBytes";

/** The share of the memory of a process that heads may occupy. */
const memoryShare = 1 / 20;
/** The share of it for whole heads, so that there is room for heads that arrive in parts. */
const wholeShare = 1 / 2;
/** What a header costs beyond its bytes: two strings, their references, and an entry in the decoded headers, in bytes. */
const headerCostBytes = 150;
/** Heads that cost no more are always taken, in bytes; the limit on connections has room for one on each. */
const smallHeadBytes = 4_096;
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

/** A whole head of a request whose response has not ended. */
interface WholeHead {
    bytes: number;
    request: IncomingMessage;
    /** Refuses the request, of whose body a part is missing. */
    refuse(): void;
}

/** A limit on heads. */
interface HeadLimit {
    /**
     * Adds a whole head until its response ends. Without room for it, those whose bodies have been missing for longest are refused.
     * @param response - The response to it.
     * @param refuse - Refuses the request if it has not arrived whole.
     * @returns Whether there is room for it.
     */
    add(response: ServerResponse, refuse: () => void): boolean;
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
export function limitHeads(options: HeadLimitOptions): HeadLimit {
    const { server, memoryBytes, refuseHead, clock, metrics, logger } = options;
    if (memoryBytes === undefined) {
        return { add: () => true };
    }
    const maximumBytes = memoryShare * memoryBytes;
    const maximumWholeBytes = wholeShare * maximumBytes;
    /** The whole heads in the order of their arrival. */
    const wholeHeads = new Map<ServerResponse, WholeHead>();
    const responses = new WeakMap<Socket, Set<ServerResponse>>();
    let wholeBytes = 0;
    const connections = new Map<Socket, WaitingConnection>();
    /** The requests in progress on each connection. */
    const openCounts = new WeakMap<Socket, number>();
    let checkedMilliseconds = -Infinity;
    let loggedMilliseconds = -Infinity;
    let unloggedCount = 0;
    server.on("connection", socket => {
        connections.set(socket, { formerBytes: 0, sinceMilliseconds: undefined });
        const socketResponses = new Set<ServerResponse>();
        responses.set(socket, socketResponses);
        socket.on("close", () => {
            connections.delete(socket);
            // Node.js closes none of the responses that wait behind another one.
            socketResponses.forEach(remove);
        });
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
    return { add };

    function add(response: ServerResponse, refuse: () => void): boolean {
        const request = response.req;
        const { socket } = request;
        const bytes = getHeadBytes(request) + headerCostBytes * request.rawHeaders.length / 2;
        if (bytes > smallHeadBytes && !makeRoom(bytes)) {
            countRefusal("whole");
            return false;
        }
        wholeBytes += bytes;
        wholeHeads.set(response, { bytes, request, refuse });
        responses.get(socket)?.add(response);
        response.on("close", () => {
            responses.get(socket)?.delete(response);
            remove(response);
        });
        return true;
    }

    function remove(response: ServerResponse): void {
        wholeBytes -= wholeHeads.get(response)?.bytes ?? 0;
        wholeHeads.delete(response);
    }

    /** Refuses heads until another one fits; none if it doesn't fit even then. */
    function makeRoom(bytes: number): boolean {
        if (wholeBytes + bytes <= maximumWholeBytes) {
            return true;
        }
        const candidates = [...wholeHeads].filter(([, head]) => head.bytes > smallHeadBytes && !head.request.complete);
        const refusableBytes = candidates.reduce((sum, [, head]) => sum + head.bytes, 0);
        if (wholeBytes - refusableBytes + bytes > maximumWholeBytes) {
            return false;
        }
        for (const [response, head] of candidates) {
            if (wholeBytes + bytes <= maximumWholeBytes) {
                break;
            }
            remove(response);
            countRefusal("whole");
            head.refuse();
        }
        return true;
    }

    function countRefusal(kind: "whole" | "unfinished"): void {
        metrics.addCount(CounterName.HeadsRefusedForMemory);
        unloggedCount += 1;
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (nowMilliseconds - loggedMilliseconds >= logMilliseconds) {
            logger.info({ kind, refusedCount: unloggedCount, wholeBytes, maximumBytes }, "refused heads");
            loggedMilliseconds = nowMilliseconds;
            unloggedCount = 0;
        }
    }

    function endRequest(socket: Socket): void {
        const openCount = (openCounts.get(socket) ?? 1) - 1;
        openCounts.set(socket, openCount);
        if (openCount === 0 && !socket.destroyed) {
            connections.set(socket, { formerBytes: socket.bytesRead, sinceMilliseconds: undefined });
        }
    }

    function check(): void {
        checkedMilliseconds = clock.getMonotonicMilliseconds();
        let totalBytes = wholeBytes;
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
        for (const [socket, { formerBytes }] of unfinished) {
            if (totalBytes <= maximumBytes) {
                break;
            }
            totalBytes -= socket.bytesRead - formerBytes;
            connections.delete(socket);
            countRefusal("unfinished");
            refuseHead(socket);
        }
    }
}
