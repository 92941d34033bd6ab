import { expect } from "chai";
import { decodeRequest } from "../../../platform/callers";
import { createPromptDescriptor } from "../../../src/forwarding";

describe("decodeRequest", () => {
    const baseHeaders = ["Host", "one.example:80", "Basilwing-Request-Id", "request-1"];

    function decode(headers: readonly string[], target = "/reads/1?x=2") {
        return decodeRequest({
            method: "POST",
            target,
            headers: [...baseHeaders, ...headers],
            arrivalMilliseconds: 7,
            connectionMilliseconds: undefined,
            signal: new AbortController().signal,
        }, Buffer.from("body"));
    }

    function doTest(headers: readonly string[], expected: readonly string[]) {
        const request = decode(headers);
        expect(typeof request === "string" ? request : request.headers).to.deep.equal([...baseHeaders, ...expected]);
    }

    describe("the forwarded headers", () => {
        it("include the caller's own headers unchanged", () => doTest(["X-Own", "A b"], ["X-Own", "A b"]));
        it("include the platform headers that a caller may set", () =>
            doTest(["Basilwing-Model", "large", "Basilwing-Length-Hint", "9"], [
                "Basilwing-Model",
                "large",
                "Basilwing-Length-Hint",
                "9",
            ]));
        it("exclude the API key", () => doTest(["Authorization", "Bearer alpha-key"], []));
        it("exclude the headers that only the platform may set", () =>
            doTest([
                "Basilwing-Tenant",
                "beta",
                "Basilwing-Cache-Salt",
                "s",
                "basilwing-hold",
                "1",
                "Basilwing-Pin-Ms",
                "1",
                "Basilwing-Kv-Backup",
                "10.0.0.1:1",
                "Kv-From",
                "10.0.0.1:1/x",
                "Basilwing-Expect-Instance",
                "other",
                "Basilwing-Unheard-Of",
                "1",
            ], []));
        it("exclude hop-by-hop headers and those named by the Connection header", () =>
            doTest(["Connection", "keep-alive, X-Once", "X-Once", "1", "Keep-Alive", "5", "Upgrade", "x"], []));
        it("include the request id even if the Connection header names it", () =>
            doTest(["Connection", "Basilwing-Request-Id"], []));
    });

    it("decodes the API key, the caller's deadline and the prompt", () => {
        const request = decode([
            "Authorization",
            "bearer alpha-key",
            "Basilwing-Deadline-Ms",
            "1500",
            "Basilwing-Model",
            "large",
            "Basilwing-Token-Usage",
            "1460,80",
            "Basilwing-Prefix-Hash",
            "5c1e07a2:800,91bd3f06:410",
            "Last-Event-Id",
            "4",
            "Resumes",
            "request-0",
        ]);
        expect(request).to.deep.include({
            apiKey: "alpha-key",
            callerMilliseconds: 1_500,
            host: "one.example",
            path: "/reads/1",
            target: "/reads/1?x=2",
            lastEventId: "4",
            resumedRequestId: "request-0",
            prompt: createPromptDescriptor({
                model: "large",
                parts: [{ id: "5c1e07a2", tokens: 800 }, { id: "91bd3f06", tokens: 410 }],
                promptTokens: 1_460,
                maximumOutputTokens: 80,
            }),
        });
    });

    it("rejects a request without an id, or with a target that isn't a path", () => {
        expect(decode([], "http://one.example/")).to.equal("the request names no host or no path");
        expect(decodeRequest({
            method: "GET",
            target: "/",
            headers: ["Host", "x"],
            arrivalMilliseconds: 0,
            connectionMilliseconds: undefined,
            signal: new AbortController().signal,
        }, Buffer.alloc(0))).to.equal("the request has no id");
    });

    // The cache salt named the first model, and the engine could go by the second.
    it("rejects a request with two values of a header that describes it", () => {
        expect(decode(["Basilwing-Model", "large", "basilwing-model", "small"])).to.be.a("string");
        expect(decode(["Basilwing-Prefix-Hash", "a:1", "Basilwing-Prefix-Hash", "b:1"])).to.be.a("string");
        expect(decode(["Basilwing-Request-Id", "request-2"])).to.be.a("string");
        expect(decode(["Basilwing-Model", "large", "basilwing-model", "large", "X", "1", "X", "2"])).to.be.an("object");
    });
});
