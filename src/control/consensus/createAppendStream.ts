/*
 * Sends a leader's messages to one address over one stream. Responses arrive in the order of the messages. A response
 * that does not arrive before the timeout closes the stream, and every message pending on it gets no response.
 */
import { Client } from "@connectrpc/connect";
import { AppendRequest, AppendResponse, ConsensusService } from "../../protocol";
import { detach } from "../../runtime";
import { AppendStream } from "./AppendStream";

interface OpenStream {
    /** The messages that the connection has not taken yet. */
    queuedRequests: AppendRequest[];
    /** The callbacks that await responses, in the order of their messages. */
    pendingResponses: ((response: AppendResponse | undefined) => void)[];
    /** Aborts the stream. */
    controller: AbortController;
    /** Wakes the generator that sends queued messages. */
    wakeSender: () => void;
}

/**
 * Creates a sender that opens its stream with the first message.
 * @param client - The client of the receiving member.
 * @param timeoutMilliseconds - The maximum time to wait for a response, in milliseconds.
 */
export function createAppendStream(client: Client<typeof ConsensusService>, timeoutMilliseconds: number): AppendStream {
    let currentStream: OpenStream | undefined;
    return { send };

    function send(request: AppendRequest): Promise<AppendResponse | undefined> {
        const stream = currentStream ?? openStream();
        return new Promise(resolve => {
            const timer = setTimeout(() => closeStream(stream), timeoutMilliseconds);
            stream.pendingResponses.push(response => {
                clearTimeout(timer);
                resolve(response);
            });
            stream.queuedRequests.push(request);
            stream.wakeSender();
        });
    }

    function openStream(): OpenStream {
        const stream: OpenStream = {
            queuedRequests: [],
            pendingResponses: [],
            controller: new AbortController(),
            wakeSender: () => undefined,
        };
        currentStream = stream;
        detach(receive(stream));
        return stream;
    }

    /** Passes each response to the oldest pending message until the stream ends. */
    async function receive(stream: OpenStream): Promise<void> {
        try {
            const { signal } = stream.controller;
            for await (const response of client.appendEntries(generateRequests(stream), { signal })) {
                stream.pendingResponses.shift()?.(response);
            }
        }
        catch {
            // Whatever the error, closing the stream ends the pending messages without a response.
        }
        closeStream(stream);
    }

    function closeStream(stream: OpenStream): void {
        if (currentStream === stream) {
            currentStream = undefined;
        }
        stream.controller.abort();
        stream.wakeSender();
        stream.pendingResponses.splice(0).forEach(finish => finish(undefined));
    }
}

/** Yields the messages of a stream as they are queued. */
async function* generateRequests(stream: OpenStream): AsyncIterable<AppendRequest> {
    while (!stream.controller.signal.aborted) {
        const request = stream.queuedRequests.shift();
        if (request) {
            yield request;
        }
        else {
            await new Promise<void>(resolve => {
                stream.wakeSender = resolve;
            });
        }
    }
}
