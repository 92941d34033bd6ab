/*
 * Forwards the responses of plain services.
 */
import { ServerResponse } from "node:http";
import { assertNever } from "../errors";
import { Header } from "../protocol";
import { breakOffResponse } from "../runtime";
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
 * Sends the response of a plain service to the caller.
 * @param options - The entry's options.
 * @param response - The HTTP response, of which nothing has been sent.
 * @param requestId - The request's id.
 * @param events - The events of the response.
 * @returns The refusal that ended the response; undefined where the response was complete.
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

    /** Sends a refusal; where the response has started, disconnects, so that the caller detects the truncation. */
    function refuse(refusal: Refusal): void {
        if (response.headersSent) {
            breakOffResponse(response);
            return;
        }
        response.getHeaderNames().forEach(name => response.removeHeader(name));
        sendRefusal(response, refusal, requestId);
    }
}

/** Gets the headers to forward: all but those of the connection, and the length, which is known only at the end. */
function getForwardedHeaders(headers: readonly Header[]): Headers {
    const forwarded = new Headers();
    for (const { name, value } of headers) {
        if (!unforwardedHeaders.has(name.toLowerCase())) {
            forwarded.append(name, value);
        }
    }
    return forwarded;
}
