/*
 * Clients that send large bodies on connections of their own and then leave them open.
 */
import { createConnection, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 50;
/** How long nothing is written until the clients count as done, in milliseconds. */
const quietMilliseconds = 2_000;
/** How long the clients may send until they count as done, in milliseconds. */
const maximumSendingMilliseconds = 20_000;
/** The time in which all waves of clients come, in milliseconds. */
const wavesMilliseconds = 3_000;

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
    /** The first part of the body, if it is another one. */
    firstPart?: Buffer;
    /** A part of the body, which is sent repeatedly. */
    part: Buffer;
    /** How often it is sent. */
    partCount: number;
    /** What is sent after these. */
    lastPart?: Buffer;
    /** How long each client waits after each part, in milliseconds; absent for not at all. */
    pauseMilliseconds?: number;
    /** Whole requests that each client sends before, without waiting for their responses. */
    earlierRequests?: Buffer;
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
 * @param crowdRequests - What they send. Of several kinds, the clients of each wave send all.
 * @param check - Called repeatedly meanwhile.
 * @param waveCount - How many waves the clients come in.
 */
export async function startCrowd(
    address: string,
    crowdRequests: readonly CrowdRequest[],
    check: () => void,
    waveCount = 1,
): Promise<Crowd> {
    const [host, port] = address.split(":") as [string, string];
    const statuses: number[] = [];
    const sockets: Socket[] = [];
    let doneCount = 0;
    const startClient = (crowdRequest: CrowdRequest) => {
        const socket = createConnection(Number(port), host);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const status = /^HTTP\/1\.1 (\d{3}) /.exec(data.toString("latin1"))?.[1];
            statuses.push(...status === undefined ? [] : [Number(status)]);
        });
        sockets.push(socket);
        void sendRequest(socket, crowdRequest).then(() => doneCount += 1);
    };
    const clients = Array.from(
        { length: Math.max(...crowdRequests.map(({ count }) => count)) },
        (...[, index]) => crowdRequests.filter(({ count }) => index < count),
    ).flat();
    for (let wave = 0; wave < waveCount; wave++) {
        const end = performance.now() + wavesMilliseconds / waveCount;
        const getFirst = (index: number) => Math.floor(index * clients.length / waveCount);
        clients.slice(getFirst(wave), getFirst(wave + 1)).forEach(startClient);
        while (wave < waveCount - 1 && performance.now() < end) {
            await sleep(Math.min(pollMilliseconds, end - performance.now()));
            check();
        }
    }
    let writtenBytes = -1;
    let changedMilliseconds = performance.now();
    const lastMilliseconds = changedMilliseconds + maximumSendingMilliseconds;
    while (
        doneCount < sockets.length && performance.now() < lastMilliseconds
        && performance.now() - changedMilliseconds < quietMilliseconds
    ) {
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
    const { firstPart, part, partCount, lastPart, earlierRequests } = crowdRequest;
    if (earlierRequests) {
        await write(socket, earlierRequests);
    }
    const head = `${method} ${target} HTTP/1.1\r\nHost: crowd.example\r\nBasilwing-Request-Id: crowd\r\n`;
    await write(socket, Buffer.from(`${head}${lengthHeader}${headEnd}`));
    if (firstPart) {
        await write(socket, firstPart);
        await sleep(crowdRequest.pauseMilliseconds ?? 0);
    }
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
