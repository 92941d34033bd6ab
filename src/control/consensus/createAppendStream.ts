/*
 * Sends a leader's messages to one address over one stream. Answers come in the order of the messages; one that does not
 * come in time breaks the stream, and all that wait on it are without an answer.
 */
import { Client } from "@connectrpc/connect";
import { AppendRequest, AppendResponse, ConsensusService } from "../../protocol";
import { AppendStream } from "./AppendStream";

interface OpenStream {
    /** The messages that are not handed to the connection yet. */
    queuedRequests: AppendRequest[];
    /** Those who wait for an answer, in the order of their messages. */
    pendingResponses: ((response: AppendResponse | undefined) => void)[];
    /** Breaks the stream. */
    controller: AbortController;
    /** Wakes the sending side. */
    wakeSender: () => void;
}

/**
 * Creates a link that opens its stream with the first message.
 * @param client - The member's service.
 * @param timeoutMilliseconds - How long an answer is waited for.
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
        void receive(stream);
        return stream;
    }

    /** Hands answers to those who wait, until the stream ends. */
    async function receive(stream: OpenStream): Promise<void> {
        try {
            const { signal } = stream.controller;
            for await (const response of client.appendEntries(generateRequests(stream), { signal })) {
                stream.pendingResponses.shift()?.(response);
            }
        }
        catch {
            // Whatever ended the stream, those who wait are without an answer.
        }
        closeStream(stream);
    }

    function closeStream(stream: OpenStream): void {
        if (currentStream === stream) {
            currentStream = undefined;
        }
        stream.controller.abort();
        stream.wakeSender();
        stream.pendingResponses.splice(0).forEach(answer => answer(undefined));
    }
}

/** Gives the messages of a stream as they come. */
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
