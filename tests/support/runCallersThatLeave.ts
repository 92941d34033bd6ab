import { Worker } from "node:worker_threads";

/** The callers of a trial. */
interface CallerTrial {
    /** The server's port on 127.0.0.1. */
    port: number;
    /** The number of callers that leave before the server reads their requests. */
    leavingCount: number;
    /** The number of callers that wait; they come after those that leave. */
    stayingCount: number;
    /** Whether the connections have carried a request before. */
    isKept: boolean;
    /** The head of each request, with `ID` for the caller: `earlier`, `leaving-N` or `staying-N`. */
    head: string;
}

const script = `
    const { connect } = require("node:net");
    const { once } = require("node:events");
    const { workerData, parentPort } = require("node:worker_threads");
    const { port, leavingCount, stayingCount, isKept, head, flags } = workerData;
    const write = (socket, id) => new Promise(resolve => socket.write(head.replace("ID", id), resolve));

    async function open() {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        await once(socket, "connect");
        if (isKept) {
            await write(socket, "earlier");
            await once(socket, "data");
        }
        return socket;
    }

    async function run() {
        const opened = isKept ? await Promise.all(Array.from({ length: leavingCount + stayingCount }, open)) : [];
        parentPort.postMessage("ready");
        Atomics.wait(flags, 0, 0);
        for (let index = 0; index < leavingCount + stayingCount; index++) {
            const socket = opened[index] ?? await open();
            const isLeaving = index < leavingCount;
            await write(socket, (isLeaving ? "leaving-" : "staying-") + index);
            if (isLeaving) {
                socket.end();
                await once(socket, "finish");
            }
        }
        Atomics.store(flags, 1, 1);
        Atomics.notify(flags, 1);
    }
    void run();
`;

/**
 * Sends requests from a thread of their own, and ends the connections of the callers that leave, while this thread, and so
 * the server, is blocked.
 * @returns Ends the connections of the callers that wait.
 */
export async function runCallersThatLeave(trial: CallerTrial): Promise<() => Promise<unknown>> {
    const flags = new Int32Array(new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(script, { eval: true, workerData: { ...trial, flags } });
    await new Promise(resolve => worker.once("message", resolve));
    Atomics.store(flags, 0, 1);
    Atomics.notify(flags, 0);
    Atomics.wait(flags, 1, 0);
    return () => worker.terminate();
}
