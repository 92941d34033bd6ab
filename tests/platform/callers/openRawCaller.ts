/*
 * A caller that writes bytes on one connection and sees all that comes back.
 */
import { AddressInfo, createConnection, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerServer } from "../../../platform/callers";

/** The caller's connection. */
interface RawCaller {
    socket: Socket;
    /** Sends a request without a body, or one with a body of zero bytes. */
    request(id: string, headers?: string): void;
    /** Gets the statuses of the responses that have arrived, in order. */
    getStatuses(): readonly number[];
    /** Gets all that has arrived. */
    getText(): string;
    /** Returns whether the connection has ended. */
    hasEnded(): boolean;
    /**
     * Waits for a number of responses, or for the end of the connection, up to a limit.
     * @param count - The number of responses.
     * @param milliseconds - The limit, in milliseconds.
     * @returns The statuses that have arrived.
     */
    waitForStatuses(count: number, milliseconds?: number): Promise<readonly number[]>;
}

/**
 * Opens a connection to the server of an entry process.
 * @param callerServer - The server.
 */
export function openRawCaller({ server }: CallerServer): RawCaller {
    const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
    let text = "";
    let hasEnded = false;
    socket.on("data", data => text += data.toString("latin1"));
    socket.on("error", () => hasEnded = true);
    socket.on("end", () => hasEnded = true);
    return { socket, request, getStatuses, getText: () => text, hasEnded: () => hasEnded, waitForStatuses };

    function request(id: string, headers = ""): void {
        socket.write(
            `POST /reads/${id} HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: ${id}\r\n`
                + `Content-Length: 0\r\n${headers}\r\n`,
        );
    }

    function getStatuses(): readonly number[] {
        return [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => Number(match[1]));
    }

    async function waitForStatuses(count: number, milliseconds = 2_000): Promise<readonly number[]> {
        const start = performance.now();
        while (getStatuses().length < count && !hasEnded && performance.now() - start < milliseconds) {
            await sleep(5);
        }
        return getStatuses();
    }
}
