/*
 * Sends the responses of backend servers, some of them with neither a length nor chunks, and breaks off some of them.
 */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { resetSocket } from "./resetSocket";
import { RunTracker } from "./RunTracker";
import { SoakBreak } from "./SoakBreak";
import { writeWithoutEnd } from "./writeWithoutEnd";

const eventIntervalMilliseconds = 40;
const unframedShare = 0.3;
const brokenShare = 0.04;
/** The time within which sent bytes arrive; a reset discards those in transit. */
const deliveryMilliseconds = 5;

/** A response that is about to be sent. */
interface SoakResponseOptions {
    /** The response object of Node.js. */
    response: ServerResponse;
    /** The headers except those of the framing. */
    headers: object;
    /** The parts of the body, which are sent at intervals: the events of a stream, or a single document. */
    parts: readonly string[];
    /** The request's id. */
    requestId: string;
    /** Records which responses were broken off. */
    runTracker: RunTracker;
    /** Chooses the framing, and whether and where the response is broken off. */
    random: RandomSource;
    /** Returns whether closes of connections arrive late. */
    isBehind(): boolean;
}

/** Sends a response; ends once it was sent, or broken off. */
export async function sendSoakResponse(options: SoakResponseOptions): Promise<void> {
    const { response, headers, parts, requestId, runTracker, random } = options;
    const breakKind = random.getFraction() < brokenShare ? pickBreak() : SoakBreak.None;
    const breakIndex = random.getInteger(parts.length + 1);
    if (random.getFraction() < unframedShare) {
        response.useChunkedEncodingByDefault = false;
        response.removeHeader("transfer-encoding");
    }
    response.writeHead(200, { ...headers });
    response.flushHeaders();
    for (const [index, part] of parts.entries()) {
        await sleep(eventIntervalMilliseconds);
        if (breakKind !== SoakBreak.None && index === breakIndex) {
            return breakOff(part);
        }
        if (response.destroyed) {
            return;
        }
        response.write(part);
    }
    response.end();

    function pickBreak(): SoakBreak {
        const kinds = Object.values(SoakBreak).filter(kind => kind !== SoakBreak.None);
        return kinds[random.getInteger(kinds.length)]!;
    }

    async function breakOff(part: string): Promise<void> {
        const { socket } = response;
        runTracker.recordBrokenOff(requestId);
        if (breakKind !== SoakBreak.ResetBetweenEvents) {
            response.write(part.slice(0, 1 + random.getInteger(part.length - 1)));
        }
        await sleep(deliveryMilliseconds);
        if (!socket || socket.destroyed) {
            return;
        }
        if (breakKind === SoakBreak.BytesWithoutEnd) {
            await writeWithoutEnd({ socket, requestId, runTracker, isBehind: options.isBehind });
        }
        else if (breakKind === SoakBreak.CloseInsideEvent) {
            socket.end();
        }
        else {
            resetSocket(socket);
        }
    }
}
