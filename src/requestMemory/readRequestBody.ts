/*
 * Reads the body of an HTTP request into memory that it reserves. Chunks are copied into one buffer of the reserved size, as a
 * chunk of one byte occupies a hundred times as much as an object of its own.
 */
import type { IncomingMessage } from "node:http";
import { createByteCollector, getReadGate, ReadPause } from "../runtime";
import { BodyLimits } from "./BodyLimits";
import { BodyOutcome } from "./BodyOutcome";
import { createBodyDiscard } from "./createBodyDiscard";
import { hasBody } from "./hasBody";

/** What is reserved first for a body of unknown length, in bytes; later four times as much each time. */
const firstBytes = 16_384;
const growthFactor = 4;
/**
 * A body whose length is stated is refused at once where it exceeds the limit this many times, and otherwise where the limit is
 * passed: a change of the routing document may raise the limit meanwhile.
 */
const farOverFactor = 2;
/** A body of which more remains is not discarded, in bytes, and its connection is closed. */
const maximumRestBytes = 4_194_304;

/** The options. */
interface BodyOptions extends BodyLimits {
    /** The request, of which nothing but the head has been read. */
    request: IncomingMessage;
    /** Gets the maximum size of the body, in bytes, which may change while the body arrives. */
    getMaximumBytes(): number;
    /** Aborted once the response has ended or the connection is closed, and the body's memory can be freed. */
    signal: AbortSignal;
    /** Ends the connection, which is no longer read, as more of a body arrives than is discarded. */
    endConnection(): void;
}

/**
 * Reads a body to its end, until it exceeds the limit, or until it is refused. Rejects where it can't be read because of a failure.
 * @param options - The request, its limit and the memory.
 */
export function readRequestBody(options: BodyOptions): Promise<BodyOutcome> {
    const { request, memory, turns, signal, getMaximumBytes, endConnection } = options;
    const declaredText = request.headers["content-length"];
    const declaredBytes = declaredText === undefined ? undefined : Number(declaredText);
    if (!hasBody(request)) {
        request.resume();
        return Promise.resolve({ kind: "read", body: Buffer.alloc(0) });
    }
    if (request.destroyed || signal.aborted) {
        // Neither would be announced again.
        return Promise.resolve({ kind: "aborted" });
    }
    return new Promise((resolve, reject) => {
        // Node.js keeps a request, with all that its listeners refer to, until the next one on the connection. A promise would keep the body.
        let settlers: { resolve: typeof resolve; reject: typeof reject; } | undefined = { resolve, reject };
        const gate = getReadGate(request.socket);
        const account = memory.open({ grant: () => attempt(grant), refuse: reason => end({ kind: reason }) });
        const recordChunk = turns.observeBody(request, refuseTurns);
        const discard = createBodyDiscard(request, endConnection);
        const excess = createByteCollector();
        let buffer: Buffer | undefined;
        let length = 0;
        let reservedBytes = 0;
        let stopDiscarding: (() => void) | undefined;
        signal.addEventListener("abort", () => {
            account.close();
            stopDiscarding?.();
            end({ kind: "aborted" });
        }, { once: true });
        request.on("data", (chunk: Buffer) => attempt(() => addChunk(chunk)));
        request.on("end", finish);
        request.on("close", () => {
            stopDiscarding?.();
            end({ kind: "aborted" });
        });
        request.on("error", () => end({ kind: "aborted" }));
        if (declaredBytes !== undefined && declaredBytes > farOverFactor * getMaximumBytes()) {
            refuseTooLarge(0);
        }

        /** Runs a step that may be called by the handler of another request, which must not fail with this one. */
        function attempt(step: () => void): void {
            try {
                step();
            }
            catch (thrown) {
                free();
                gate.resume(ReadPause.Memory);
                settlers?.reject(thrown);
                settlers = undefined;
            }
        }

        function addChunk(chunk: Buffer): void {
            recordChunk(chunk.length);
            if (!settlers) {
                discard(chunk.length);
                return;
            }
            account.recordArrival(chunk.length);
            const newLength = length + excess.getLength() + chunk.length;
            if (newLength > getMaximumBytes()) {
                refuseTooLarge(newLength);
            }
            else if (!gate.isPaused(ReadPause.Memory) && (buffer && newLength <= buffer.length || reserve(newLength))) {
                append(chunk);
            }
            else {
                // One read of the connection brings several chunks, of which the last ones may exceed what the first one waits for.
                reservedBytes = Math.max(reservedBytes, getReservation(newLength));
                if (account.addExcess(chunk.length, reservedBytes)) {
                    excess.add(chunk);
                    gate.pause(ReadPause.Memory);
                }
            }
        }

        /** Reserves memory for more bytes; returns whether it is there. */
        function reserve(newLength: number): boolean {
            reservedBytes = getReservation(newLength);
            return account.reserve(reservedBytes);
        }

        function getReservation(newLength: number): number {
            const grownBytes = Math.min(getMaximumBytes(), Math.max(firstBytes, growthFactor * (buffer?.length ?? 0)));
            return Math.max(newLength, Math.min(declaredBytes ?? grownBytes, getMaximumBytes()));
        }

        function append(chunk: Uint8Array): void {
            if (!buffer && chunk.length === reservedBytes) {
                buffer = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
                length = chunk.length;
                return;
            }
            if (!buffer || buffer.length < reservedBytes) {
                const larger = Buffer.allocUnsafeSlow(reservedBytes);
                buffer?.copy(larger, 0, 0, length);
                buffer = larger;
            }
            buffer.set(chunk, length);
            length += chunk.length;
        }

        function grant(): void {
            excess.takeParts().forEach(append);
            gate.resume(ReadPause.Memory);
        }

        function finish(): void {
            if (!request.complete) {
                end({ kind: "aborted" });
            }
            else if (settlers) {
                const body = takeBody();
                end({ kind: "read", body });
            }
        }

        /** Takes the whole body, which needs no further memory, also where it waits for some. */
        function takeBody(): Uint8Array {
            const parts = excess.takeParts();
            const read = buffer?.subarray(0, length) ?? Buffer.alloc(0);
            const isCopied = parts.length > 0 || read.length < (buffer?.length ?? 0) / 2;
            const body = isCopied ? Buffer.concat([read, ...parts]) : read;
            account.complete(isCopied ? body.length : buffer?.length ?? 0);
            buffer = undefined;
            return body;
        }

        function refuseTooLarge(readBytes: number): void {
            const restBytes = (declaredBytes ?? 0) - readBytes;
            stopDiscarding = restBytes > maximumRestBytes ? undefined : memory.startDiscarding();
            end({ kind: "tooLarge", mustClose: stopDiscarding === undefined });
        }

        /** Refuses the request as it takes too much time to read, or ends the reading of its rest. */
        function refuseTurns(): void {
            if (settlers) {
                end({ kind: "overloaded" });
            }
            else if (!request.complete) {
                endConnection();
            }
        }

        function end(outcome: BodyOutcome): void {
            if (settlers) {
                if (outcome.kind !== "read") {
                    free();
                }
                if (outcome.kind === "read" || outcome.kind === "tooLarge") {
                    // The connection goes on with the next request, or the rest of this one is discarded.
                    gate.resume(ReadPause.Memory);
                }
                settlers.resolve(outcome);
                settlers = undefined;
            }
        }

        function free(): void {
            account.close();
            excess.takeParts();
            buffer = undefined;
        }
    });
}
