import { CallerReply, Refusal } from "../../src/forwarding";

/** A reply that records what is sent to the caller. */
export interface TestReply extends CallerReply {
    /** Gets the response so far as text: its status, its body and how it ended. */
    getText(): string;
    /** Gets the refusal that was sent to the caller. */
    getRefusal(): Refusal | undefined;
}

/** Creates the reply to one request. */
export function createTestReply(): TestReply {
    let text = "";
    let refusal: Refusal | undefined;
    return {
        send: (head, body) => text += `${head.status} ${Buffer.from(body).toString()} whole`,
        start: head => text += `${head.status} `,
        write: bytes => {
            text += Buffer.from(bytes).toString();
            return Promise.resolve();
        },
        end: () => text += "end",
        abort: () => text += "broken off",
        refuse: newRefusal => refusal = newRefusal,
        getText: () => text,
        getRefusal: () => refusal,
    };
}
