import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ServiceEvent } from "../../src/backends";
import { ServiceWorkSchema } from "../../src/protocol";
import { AttemptRun } from "../../src/sidecar/AttemptRun";
import { runServiceAttempt } from "../../src/sidecar/runServiceAttempt";
import { SidecarOptions } from "../../src/sidecar/SidecarOptions";

describe("runServiceAttempt", () => {
    /** Runs an attempt whose service sends a stream of events in parts, and returns the kind of its last event. */
    async function doTest(contentType: string, parts: readonly string[], expected: "end" | "refused") {
        const events: ServiceEvent[] = [
            { kind: "head", status: 200, headers: [{ name: "content-type", value: contentType }] },
            ...parts.map((part): ServiceEvent => ({ kind: "body", data: Buffer.from(part) })),
            { kind: "end" },
        ];
        const options = {
            authority: { getRevision: () => 0n },
            backend: {
                kind: "service",
                adapter: {
                    call: async function*() {
                        yield* await Promise.resolve(events);
                    },
                },
            },
            incarnation: "sidecar-1",
        } as unknown as SidecarOptions;
        const run = {
            attempt: { setRunState: () => undefined, signal: new AbortController().signal },
            queueMilliseconds: 0,
            request: { requestId: "request-1" },
            slot: { release: () => undefined },
            getBackendState: () => ({ incarnation: "service-1" }),
        } as unknown as AttemptRun;
        const cases: string[] = [];
        for await (const event of runServiceAttempt(options, run, create(ServiceWorkSchema))) {
            cases.push(event.case);
        }
        expect(cases.at(-1)).to.equal(expected);
    }

    it("ends a stream after its last whole event", () =>
        doTest("text/event-stream", ["data: a\n\ndata: b\n", "\n"], "end"));
    it("does not end a stream inside an event as if it were complete", () =>
        doTest("text/event-stream; charset=utf-8", ["data: a\n\nda"], "refused"));
    it("ends any other response anywhere", () => doTest("text/plain", ["data: a\n\nda"], "end"));
});
