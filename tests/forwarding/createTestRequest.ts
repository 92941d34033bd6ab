import { createPromptDescriptor, ForwardedRequest } from "../../src/forwarding";

/** Creates a caller's request to an idempotent route. */
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
        callerMilliseconds: 2_000,
        prompt: undefined,
        lastEventId: undefined,
        resumedRequestId: undefined,
        arrivalMilliseconds: 0,
        connectionMilliseconds: undefined,
        signal: new AbortController().signal,
        ...changes,
    };
}

/** Gets the fields of a request with a prompt. */
createTestRequest.createPrompt = (path: string): Partial<ForwardedRequest> => ({
    path,
    target: path,
    prompt: createPromptDescriptor({
        model: "large",
        parts: [{ id: "a1", tokens: 500 }, { id: "b2", tokens: 4_000 }, { id: "c3", tokens: 900 }],
        promptTokens: 5_400,
        maximumOutputTokens: 80,
    }),
});
