import { expect } from "chai";
import { decodeRequest } from "../../../platform/callers";

describe("decodeRequest", () => {
    const baseHeaders = ["Host", "one.example:80", "Basilwing-Request-Id", "request-1"];

    function decode(headers: readonly string[], target = "/reads/1?x=2") {
        return decodeRequest({
            method: "POST",
            target,
            headers: [...baseHeaders, ...headers],
            arrivalMilliseconds: 7,
            signal: new AbortController().signal,
        }, Buffer.from("body"));
    }

    function doTest(headers: readonly string[], expected: readonly string[]) {
        const request = decode(headers);
        expect(typeof request === "string" ? request : request.headers).to.deep.equal([...baseHeaders, ...expected]);
    }

    describe("the headers that are passed on", () => {
        it("hold what the caller sent, as it came", () => doTest(["X-Own", "A b"], ["X-Own", "A b"]));
        it("hold what a caller may say of its request", () =>
            doTest(["Basilwing-Model", "large", "Basilwing-Length-Hint", "9"], [
                "Basilwing-Model",
                "large",
                "Basilwing-Length-Hint",
                "9",
            ]));
        it("never hold the key", () => doTest(["Authorization", "Bearer alpha-key"], []));
        it("never hold what only the system may set", () =>
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
        it("never hold what concerns the connection", () =>
            doTest(["Connection", "keep-alive, X-Once", "X-Once", "1", "Keep-Alive", "5", "Upgrade", "x"], []));
        it("hold the request's id even where the caller names it as the connection's", () =>
            doTest(["Connection", "Basilwing-Request-Id"], []));
    });

    it("reads key, time and prompt", () => {
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
        ]);
        expect(request).to.deep.include({
            apiKey: "alpha-key",
            callerMilliseconds: 1_500,
            host: "one.example",
            path: "/reads/1",
            target: "/reads/1?x=2",
            lastEventId: "4",
            prompt: {
                model: "large",
                parts: [{ id: "5c1e07a2", tokens: 800 }, { id: "91bd3f06", tokens: 410 }],
                promptTokens: 1_460,
                maximumOutputTokens: 80,
            },
        });
    });

    it("wants an id and a path", () => {
        expect(decode([], "http://one.example/")).to.equal("the request names no host or no path");
        expect(decodeRequest({
            method: "GET",
            target: "/",
            headers: ["Host", "x"],
            arrivalMilliseconds: 0,
            signal: new AbortController().signal,
        }, Buffer.alloc(0))).to.equal("the request has no id");
    });
});
