/*
 * Reads the JSON body of a request, up to a maximum size.
 */
import type { IncomingMessage } from "node:http";
import { formatValueProblem, parseJsonText } from "../../settings/validation";
import { BodyOutcome } from "./BodyOutcome";

/**
 * Reads and parses a body.
 * @param request - The request, of which nothing has been read.
 * @param maximumBytes - The maximum size of the body, in bytes.
 * @returns The parsed body, or why it couldn't be read.
 */
export async function readJsonBody(request: IncomingMessage, maximumBytes: number): Promise<BodyOutcome> {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    try {
        for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            byteCount += chunk.length;
            if (byteCount > maximumBytes) {
                // The rest is read and discarded, so that the client receives the response.
                request.resume();
                return { kind: "tooLarge" };
            }
            chunks.push(chunk);
        }
    }
    catch {
        return { kind: "aborted" };
    }
    if (byteCount === 0) {
        return { kind: "read", body: undefined };
    }
    const parsed = parseJsonText(Buffer.concat(chunks).toString("utf8"));
    return parsed.kind === "parsed"
        ? { kind: "read", body: parsed.value }
        : { kind: "notJson", problem: formatValueProblem(parsed.problem) };
}
