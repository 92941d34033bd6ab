/*
 * Clients that send large bodies on connections of their own and then leave them open.
 */
import { createConnection, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 50;
/** How long nothing is written until the clients count as done, in milliseconds. */
const quietMilliseconds = 2_000;

/** What each client sends. */
export interface CrowdRequest {
    /** The number of clients. */
    count: number;
    /** The target of the request. */
    target?: string;
    /** The method of the request. */
    method?: string;
    /** The header that states the length of the body. */
    lengthHeader: string;
    /** What ends the head; absent for an empty line. */
    headEnd?: string;
    /** A part of the body, which is sent repeatedly. */
    part: Buffer;
    /** How often it is sent. */
    partCount: number;
    /** What is sent after these. */
    lastPart?: Buffer;
    /** How long each client waits after each part, in milliseconds; absent for not at all. */
    pauseMilliseconds?: number;
}

/** The clients. */
interface Crowd {
    /** Gets the statuses of the responses that have arrived. */
    getStatuses(): readonly number[];
    /** Gets the number of connections that the server has not closed. */
    getOpenCount(): number;
    /** Closes all connections. */
    close(): void;
}

/**
 * Starts clients, and waits until they have sent everything or can't send more.
 * @param address - Where they connect to, as `ip:port`.
 * @param crowdRequest - What they send.
 * @param check - Called repeatedly meanwhile.
 */
export async function startCrowd(address: string, crowdRequest: CrowdRequest, check: () => void): Promise<Crowd> {
    const [host, port] = address.split(":") as [string, string];
    const statuses: number[] = [];
    const sockets = Array.from({ length: crowdRequest.count }, () => {
        const socket = createConnection(Number(port), host);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const status = /^HTTP\/1\.1 (\d{3}) /.exec(data.toString("latin1"))?.[1];
            statuses.push(...status === undefined ? [] : [Number(status)]);
        });
        return socket;
    });
    let doneCount = 0;
    sockets.forEach(socket => void sendRequest(socket, crowdRequest).then(() => doneCount += 1));
    let writtenBytes = -1;
    let changedMilliseconds = performance.now();
    while (doneCount < sockets.length && performance.now() - changedMilliseconds < quietMilliseconds) {
        await sleep(pollMilliseconds);
        check();
        const newWrittenBytes = sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0);
        if (newWrittenBytes !== writtenBytes) {
            writtenBytes = newWrittenBytes;
            changedMilliseconds = performance.now();
        }
    }
    // What was written last is still to be read.
    for (const end = performance.now() + quietMilliseconds; performance.now() < end;) {
        await sleep(pollMilliseconds);
        check();
    }
    return {
        getStatuses: () => statuses,
        getOpenCount: () => sockets.filter(({ closed }) => !closed).length,
        close: () => sockets.forEach(socket => socket.destroy()),
    };
}

async function sendRequest(socket: Socket, crowdRequest: CrowdRequest): Promise<void> {
    const { target = "/read/crowd", method = "POST", lengthHeader, headEnd = "\r\n\r\n" } = crowdRequest;
    const { part, partCount, lastPart } = crowdRequest;
    const head = `${method} ${target} HTTP/1.1\r\nHost: crowd.example\r\nBasilwing-Request-Id: crowd\r\n`;
    await write(socket, Buffer.from(`${head}${lengthHeader}${headEnd}`));
    for (let index = 0; index < partCount && !socket.destroyed; index++) {
        await write(socket, part);
        await sleep(crowdRequest.pauseMilliseconds ?? 0);
    }
    if (lastPart) {
        await write(socket, lastPart);
    }
}

/** Writes bytes, and waits until more can be written. */
async function write(socket: Socket, bytes: Buffer): Promise<void> {
    if (socket.destroyed || socket.write(bytes)) {
        return;
    }
    await new Promise<void>(resolve => {
        socket.once("drain", resolve);
        socket.once("close", () => resolve());
    });
}
