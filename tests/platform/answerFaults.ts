/*
 * Answers that a test's server gives in place of a whole one, and that no client may take for a success.
 */
import type { Socket } from "node:net";
import { endWithReset } from "./endWithReset";

/** The whole answer that a fault is made from. */
interface WholeAnswer {
    /** The status and reason phrase of the whole answer. */
    statusLine: string;
    /** The header lines, each with its line end, without the framing. */
    fields: string;
    /** The body. */
    body: string;
}

type AnswerFault = (socket: Socket, whole: WholeAnswer) => void;

/** The faults, by what they are. */
export const answerFaults: Readonly<Record<string, AnswerFault>> = {
    ...Object.fromEntries(["000", "099", "600", "999"].map(status => [`status ${status}`, sendStatus(status)])),
    "a part without a length and a later reset": (socket, whole) =>
        endWithReset(socket, getPart(whole, whole.body.slice(0, -1)), "later"),
    "a part without a length and a reset at once": (socket, whole) =>
        endWithReset(socket, getPart(whole, whole.body.slice(0, -1)), "at once"),
    "a body that may go on and a later reset": (socket, whole) =>
        endWithReset(socket, getPart(whole, whole.body), "later"),
    "a body that may go on and a reset at once": (socket, whole) =>
        endWithReset(socket, getPart(whole, whole.body), "at once"),
    "less than its length": (socket, whole) =>
        void socket.end(getPart({ ...whole, fields: `${whole.fields}Content-Length: 1000\r\n` }, whole.body)),
    "chunks without the last one": (socket, whole) =>
        void socket.end(
            getPart(
                { ...whole, fields: `${whole.fields}Transfer-Encoding: chunked\r\n` },
                `${whole.body.length.toString(16)}\r\n${whole.body}\r\n`,
            ),
        ),
};

function sendStatus(status: string): AnswerFault {
    return (socket, { fields, body }) =>
        void socket.write(`HTTP/1.1 ${status} Odd\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`);
}

function getPart({ statusLine, fields }: WholeAnswer, text: string): string {
    return `HTTP/1.1 ${statusLine}\r\n${fields}\r\n${text}`;
}
