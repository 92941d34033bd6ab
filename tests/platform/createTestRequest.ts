import { ForwardedRequest } from "../../src/forwarding";

/** Creates a caller's request. */
export function createTestRequest(changes: Partial<ForwardedRequest> = {}): ForwardedRequest {
    return {
        requestId: "request-1",
        method: "POST",
        target: "/reads/1",
        host: "one.example",
        path: "/reads/1",
        headers: ["Host", "one.example", "Basilwing-Request-Id", "request-1"],
        body: Buffer.from("body"),
        apiKey: "alpha-key",
        callerMilliseconds: 1_000,
        prompt: undefined,
        lastEventId: undefined,
        arrivalMilliseconds: 0,
        signal: new AbortController().signal,
        ...changes,
    };
}
