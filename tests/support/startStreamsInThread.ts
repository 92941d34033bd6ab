import { once } from "node:events";
import { get, IncomingMessage } from "node:http";
import { Worker } from "node:worker_threads";

/** Streams that a server in a thread of its own sends. */
export interface StreamsInThread {
    /** Sets what is called with the number of a stream for each piece that was received. */
    onPiece(listener: (index: number) => void): void;
    /** Sends a call that the server answers at once, and waits for the response. */
    probe(): Promise<void>;
    /** Blocks the calling thread for some time, and until another piece of each stream has been sent. */
    blockUntilAllHaveSent(milliseconds: number): void;
    stop(): Promise<unknown>;
}

const address = "127.0.0.1";

const script = `
    const { createServer } = require("node:http");
    const { workerData: { sentCounts }, parentPort } = require("node:worker_threads");
    const server = createServer((request, response) => {
        const index = Number(request.url.slice(1));
        if (Number.isNaN(index)) {
            response.end();
            return;
        }
        const send = () => response.write("piece", () => Atomics.add(sentCounts, index, 1));
        send();
        const timer = setInterval(send, 100);
        response.on("close", () => clearInterval(timer));
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/**
 * Starts a server in a thread of its own, and streams from it that send a piece each 100 ms.
 * @param streamCount - The number of streams.
 */
export async function startStreamsInThread(streamCount: number): Promise<StreamsInThread> {
    const sentCounts = new Int32Array(new SharedArrayBuffer(streamCount * Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(script, { eval: true, workerData: { sentCounts } });
    const [port] = await once(worker, "message") as [number];
    const responses = await Promise.all([...sentCounts.keys()].map(index => open(String(index))));
    let onPiece: (index: number) => void = () => undefined;
    responses.forEach((response, index) => response.on("data", () => onPiece(index)));
    return {
        onPiece: listener => {
            onPiece = listener;
        },
        probe: async () => {
            (await open("probe")).resume();
        },
        blockUntilAllHaveSent,
        stop: () => {
            responses.forEach(response => response.destroy());
            return worker.terminate();
        },
    };

    async function open(path: string): Promise<IncomingMessage> {
        const [response] = await once(get({ host: address, port, path: `/${path}`, agent: false }), "response") as [
            IncomingMessage,
        ];
        return response;
    }

    function blockUntilAllHaveSent(milliseconds: number): void {
        const end = performance.now() + milliseconds;
        const before = [...sentCounts];
        while (performance.now() < end || before.some((count, index) => Atomics.load(sentCounts, index) === count)) {
            // The thread is blocked on purpose.
        }
    }
}
