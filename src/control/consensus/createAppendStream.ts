/*
 * Sends a leader's messages to one address over one stream. Responses arrive in the order of the messages. A response
 * that does not arrive before the timeout closes the stream, and every message pending on it gets no response. Where a
 * response is late, the connection is checked, and if it was replaced, the pending messages are sent again on the new one.
 */
import { Client } from "@connectrpc/connect";
import { AppendRequest, AppendResponse, ConsensusService } from "../../protocol";
import { detach } from "../../runtime";
import { AppendStream } from "./AppendStream";

/** A message that awaits its response. */
interface PendingMessage {
    request: AppendRequest;
    /** The stream on which the message was sent last. */
    stream: OpenStream;
    /** Ends the wait, with the response or without one. */
    finish: (response: AppendResponse | undefined) => void;
}

interface OpenStream {
    /** The messages that the connection has not taken yet. */
    queuedRequests: AppendRequest[];
    /** The messages that await responses, in their order. */
    pendingMessages: PendingMessage[];
    /** Aborts the stream. */
    controller: AbortController;
    /** Wakes the generator that sends queued messages. */
    wakeSender: () => void;
}

/** The options of an append stream. */
interface AppendStreamOptions {
    /** The client of the receiving member. */
    client: Client<typeof ConsensusService>;
    /** The maximum time to wait for a response, in milliseconds. */
    timeoutMilliseconds: number;
    /** How long a response may take until the connection is checked, in milliseconds. */
    checkMilliseconds: number;
    /** Checks the connection, and returns whether it was replaced. */
    checkConnection: () => Promise<boolean>;
}

/**
 * Creates a sender that opens its stream with the first message.
 * @param options - The client of the receiving member, the timeouts and the check of the connection.
 */
export function createAppendStream(options: AppendStreamOptions): AppendStream {
    const { client, timeoutMilliseconds, checkMilliseconds, checkConnection } = options;
    let currentStream: OpenStream | undefined;
    return { send };

    function send(request: AppendRequest): Promise<AppendResponse | undefined> {
        return new Promise(resolve => {
            let timer = setTimeout(checkLateMessage, checkMilliseconds);
            const message: PendingMessage = { request, stream: currentStream ?? openStream(), finish };
            enqueue(message);

            function checkLateMessage(): void {
                timer = setTimeout(() => closeStream(message.stream), timeoutMilliseconds - checkMilliseconds);
                detach(resendIfReplaced(message.stream));
            }

            function finish(response: AppendResponse | undefined): void {
                clearTimeout(timer);
                resolve(response);
            }
        });
    }

    function enqueue(message: PendingMessage): void {
        message.stream.pendingMessages.push(message);
        message.stream.queuedRequests.push(message.request);
        message.stream.wakeSender();
    }

    /** Sends the pending messages of a stream again if its connection was replaced; a follower accepts entries twice. */
    async function resendIfReplaced(stream: OpenStream): Promise<void> {
        if (!await checkConnection() || currentStream !== stream) {
            return;
        }
        const messages = stream.pendingMessages.splice(0);
        closeStream(stream);
        messages.forEach(message => {
            message.stream = currentStream ?? openStream();
            enqueue(message);
        });
    }

    function openStream(): OpenStream {
        const stream: OpenStream = {
            queuedRequests: [],
            pendingMessages: [],
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
                stream.pendingMessages.shift()?.finish(response);
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
        stream.pendingMessages.splice(0).forEach(message => message.finish(undefined));
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
