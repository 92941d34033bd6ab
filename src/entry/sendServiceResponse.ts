/*
 * Passes a plain service's answer on.
 */
import { ServerResponse } from "node:http";
import { assertNever } from "../errors";
import { Header } from "../protocol";
import { EntryOptions } from "./EntryOptions";
import { Refusal } from "./Refusal";
import { ResponseEvent } from "./ResponseEvent";
import { sendRefusal } from "./sendRefusal";
import { writeWithBackpressure } from "./writeWithBackpressure";

const unforwardedHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Sends a plain service's answer.
 * @returns The refusal that ended it; undefined where the answer was whole.
 */
export async function sendServiceResponse(
    options: EntryOptions,
    response: ServerResponse,
    requestId: string,
    events: AsyncIterable<ResponseEvent>,
): Promise<Refusal | undefined> {
    for await (const event of events) {
        switch (event.kind) {
            case "started":
            case "text":
                break;
            case "head":
                response.statusCode = event.status;
                response.setHeaders(getForwardedHeaders(event.headers));
                response.setHeader("basilwing-run", "yes");
                response.setHeader("x-request-id", requestId);
                break;
            case "body":
                await writeWithBackpressure(options, response, event.data);
                break;
            case "end":
                response.end();
                return undefined;
            case "refused":
                refuse(event.refusal);
                return event.refusal;
            default:
                assertNever(event);
        }
    }
    return undefined;

    /** Refuses, or cuts the connection where the answer has begun, so that it can't be taken for a whole one. */
    function refuse(refusal: Refusal): void {
        if (response.headersSent) {
            response.destroy();
            return;
        }
        response.getHeaderNames().forEach(name => response.removeHeader(name));
        sendRefusal(response, refusal, requestId);
    }
}

/** Gets the headers that are passed on: not those of one connection, nor a length that is only known at the end. */
function getForwardedHeaders(headers: readonly Header[]): Headers {
    const forwarded = new Headers();
    for (const { name, value } of headers) {
        if (!unforwardedHeaders.has(name.toLowerCase())) {
            forwarded.append(name, value);
        }
    }
    return forwarded;
}
