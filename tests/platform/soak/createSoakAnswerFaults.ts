/*
 * Lets a backend server of a soak refuse requests, lose answers, forget idle connections, and send second answers: refusals
 * that it has sent on the connection, once more, and refusals that name no request.
 */
import type { Socket } from "node:net";
import { RandomSource } from "../../../src/runtime";
import { resetSocket } from "./resetSocket";
import { SoakAnswerFault } from "./SoakAnswerFault";
import { soakNotRunStatuses } from "./soakNotRunStatuses";

const refusedShare = 0.15;
const lostShare = 0.03;
const extraShare = 0.5;
/** The share of the second answers that are sent only when the next request has arrived on the connection. */
const lateExtraShare = 0.9;
/** The share of the second answers that name no request. */
const unnamedShare = 0.2;
/** The share of the connections that are forgotten while they are idle. */
const forgottenShare = 0.3;
const forgottenAfterMilliseconds = 300;

/** The faults of one backend server's answers. */
export interface SoakAnswerFaults {
    /** Picks what happens to a request. */
    pick(): SoakAnswerFault;
    /** Sends what is due before the next request on a connection; returns whether that request is never read. */
    beginRequest(socket: Socket): boolean;
    /**
     * Records that a connection has carried a whole answer, which another one may follow.
     * @param socket - The connection.
     * @param requestId - The request that was answered.
     * @param status - The status of the answer.
     */
    endAnswer(socket: Socket, requestId: string, status: number): void;
}

/**
 * Creates the faults.
 * @param random - Chooses them.
 */
export function createSoakAnswerFaults(random: RandomSource): SoakAnswerFaults {
    const lateExtras = new WeakMap<Socket, string>();
    const idleSince = new WeakMap<Socket, number>();
    return { pick, beginRequest, endAnswer };

    function pick(): SoakAnswerFault {
        const fraction = random.getFraction();
        if (fraction < refusedShare) {
            return SoakAnswerFault.Refused;
        }
        return fraction < refusedShare + lostShare ? SoakAnswerFault.Lost : SoakAnswerFault.None;
    }

    function beginRequest(socket: Socket): boolean {
        const idleMilliseconds = Date.now() - (idleSince.get(socket) ?? Infinity);
        if (idleMilliseconds > forgottenAfterMilliseconds && random.getFraction() < forgottenShare) {
            resetSocket(socket);
            return true;
        }
        const extra = lateExtras.get(socket);
        if (extra !== undefined) {
            lateExtras.delete(socket);
            socket.write(extra);
        }
        return false;
    }

    function endAnswer(socket: Socket, requestId: string, status: number): void {
        idleSince.set(socket, Date.now());
        if (!soakNotRunStatuses.has(status) || random.getFraction() >= extraShare) {
            return;
        }
        const name = random.getFraction() < unnamedShare ? "" : `basilwing-request-id: ${requestId}\r\n`;
        const extra = `HTTP/1.1 ${status} Refused\r\nbasilwing-not-executed: 1\r\n${name}content-length: 0\r\n\r\n`;
        if (random.getFraction() < lateExtraShare) {
            lateExtras.set(socket, extra);
        }
        else {
            socket.write(extra);
        }
    }
}
