/*
 * Counts the connections that a backend server has reset. The HTTP library takes a reset for the end of a response that
 * has neither a length nor chunks, so that only the socket shows that the response may be incomplete. If a reset arrives
 * together with data, Node.js emits the data and then a regular end; only the socket's missing remote address then
 * reveals the reset.
 */
import type { Socket } from "node:net";
import { hasErrorCode } from "../errors";
import { ResetCounter } from "./ResetCounter";

/** Creates a counter that watches no connection yet. */
export function createResetCounter(): ResetCounter {
    let count = 0;
    return { watch, getCount: () => count };

    function watch(socket: Socket): void {
        let isReset = false;
        // The library reports all other errors as a failed response.
        socket.on("error", error => {
            if (hasErrorCode(error, "ECONNRESET")) {
                recordReset();
            }
        });
        socket.on("end", () => {
            if (socket.remoteAddress === undefined) {
                recordReset();
            }
        });

        function recordReset(): void {
            if (!isReset) {
                isReset = true;
                count += 1;
            }
        }
    }
}
