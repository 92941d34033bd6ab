import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { request as sendRequest } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createBackendLink } from "../../platform/backends";
import { CallerServer } from "../../platform/callers";
import { StreamOriginSchema } from "../../src/protocol";
import { createSystemClock } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createTestForwarder } from "../forwarding/createTestForwarder";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { startTestCallerServer } from "./callers/startTestCallerServer";
import { endWithReset, ResetKind } from "./endWithReset";
import { startPartServer } from "./startPartServer";

describe("an entry process, with answers that are no whole answers", () => {
    const uploadBytes = 4_000_000;
    const instanceIds = ["one", "two"];
    const resetKinds: readonly ResetKind[] = ["later", "at once", "with unread bytes"];
    const promptHeaders = {
        "Basilwing-Model": "large",
        "Basilwing-Token-Usage": "500,80",
        "Basilwing-Prefix-Hash": "a1:500",
    };
    const stream = "content-type: text/event-stream\r\n";
    const events = "id: 1\ndata: 1\n\n";
    const whole = "whole answer ".repeat(20);

    let servers: Awaited<ReturnType<typeof startPartServer>>[] = [];
    let link = createBackendLink();
    let forwarderController = new AbortController();
    let callerServer: CallerServer | undefined;
    let heads: string[] = [];
    let respondFirst: (socket: Socket, identity: string) => void = () => undefined;
    let respondNext: (socket: Socket, identity: string) => void = () => undefined;
    let faultySocket: Socket | undefined;

    beforeEach(async () => {
        heads = [];
        faultySocket = undefined;
        link = createBackendLink();
        forwarderController = new AbortController();
        servers = await Promise.all(instanceIds.map(() => startPartServer(respondEarly, respond)));
        const clock = createSystemClock();
        const instances = instanceIds.flatMap((id, index) => {
            const { address } = servers[index]!;
            return [
                createTestInstance({ instanceId: `engine-${id}`, address }),
                createTestInstance({ instanceId: `actions-${id}`, address, service: "actions", weights: [] }),
            ];
        });
        const { routes, limits } = createTestDocument();
        const state = createTestFeedState(clock, instances, {
            routes: routes.map(route => ({ ...route, timeoutMilliseconds: 10_000 })),
            limits: { ...limits, maximumBodyBytes: 4_194_304 },
        });
        state.confirmFleet = () => Promise.resolve(true);
        const streamOrigins = createTestStreamOrigins();
        await streamOrigins.record(
            create(StreamOriginSchema, { requestId: "request-0", service: "models", softwareVersion: "v1" }),
            false,
        );
        const forwarder = createTestForwarder(
            state,
            link as unknown as Parameters<typeof createTestForwarder>[1],
            clock as Parameters<typeof createTestForwarder>[2],
            { maximumDocumentAgeMilliseconds: 60_000, streamOrigins, signal: forwarderController.signal },
        );
        callerServer = await startTestCallerServer(forwarder.forward, { forwarder, state, clock });
    });

    afterEach(async () => {
        forwarderController.abort();
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
        await link.stop();
        await Promise.all(servers.map(server => server.stop()));
    });

    function respondEarly(socket: Socket, head: string): boolean {
        if (head.startsWith("GET ")) {
            return false;
        }
        heads.push(head);
        if (heads.length > 1) {
            return false;
        }
        faultySocket = socket;
        respondFirst(socket, getIdentity(head));
        return true;
    }

    function respond(socket: Socket, head: string): void {
        if (head.startsWith("GET ")) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        respondNext(socket, getIdentity(head));
    }

    function getIdentity(head: string): string {
        const [, requestId = ""] = /^basilwing-request-id: (\S+)/im.exec(head) ?? [];
        return `Basilwing-Request-Id: ${requestId}\r\nBasilwing-Response-Seal: seal\r\n`;
    }

    function getHeader(head: string | undefined, name: string): string | undefined {
        return new RegExp(`^${name}: (\\S+)`, "im").exec(head ?? "")?.[1];
    }

    /** Sends a request; returns the status, the body, and whether the body is whole for the caller. */
    function call(path: string, bodyBytes: number, headers: Record<string, string> = {}) {
        const { port } = callerServer!.server.address() as AddressInfo;
        return new Promise<{ status: number | undefined; text: string; isWhole: boolean; }>(resolve => {
            const request = sendRequest({
                port,
                host: "127.0.0.1",
                agent: false,
                method: "POST",
                path,
                headers: {
                    "Host": "one.example",
                    "Basilwing-Request-Id": "request-1",
                    "Basilwing-Deadline-Ms": "10000",
                    "Authorization": "Bearer alpha-key",
                    "Content-Length": bodyBytes,
                    ...headers,
                },
            });
            request.on("error", () => resolve({ status: undefined, text: "", isWhole: false }));
            request.on("response", response => {
                let text = "";
                response.on("data", (data: Buffer) => text += data.toString());
                response.on("error", () => undefined);
                response.on("close", () => resolve({ status: response.statusCode, text, isWhole: response.complete }));
            });
            request.end(Buffer.alloc(bodyBytes, "x"));
        });
    }

    function respondWhole(socket: Socket, identity: string): void {
        socket.write(`HTTP/1.1 200 OK\r\n${identity}Content-Length: ${whole.length}\r\n\r\n${whole}`);
    }

    for (const [name, bodyBytes] of [["a long upload", uploadBytes], ["a short body", 4]] as const) {
        // A connection whose request was read to its end is not reset by its closing.
        const isReadToEnd = bodyBytes < uploadBytes;
        for (const kind of resetKinds.filter(candidate => !isReadToEnd || candidate !== "with unread bytes")) {
            for (
                const [partName, part] of [["a short part", "part"], ["a long part", "part".repeat(40_000)]] as const
            ) {
                describe(`${partName} of a 200 without a length, ${name}, reset ${kind}`, () => {
                    beforeEach(() => {
                        respondFirst = (socket, identity) =>
                            endWithReset(socket, `HTTP/1.1 200 OK\r\n${identity}\r\n${part}`, kind);
                        respondNext = respondWhole;
                    });

                    it("does not reach the caller of a safe request, whose answer is another server's", async () => {
                        expect(await call("/reads/1", bodyBytes))
                            .to.deep.equal({ status: 200, text: whole, isWhole: true });
                        expect(new Set(heads.map(head => getHeader(head, "Basilwing-Expect-Instance"))).size)
                            .to.equal(2);
                        expect(heads.length).to.equal(2);
                    });
                    it("does not reach the caller of an unsafe request, which is not sent again", async () => {
                        const { status, isWhole, text } = await call("/releases/1", bodyBytes);
                        expect({ status, isWhole }).to.deep.equal({ status: 502, isWhole: true });
                        expect(text).not.to.include("part");
                        expect(heads.length).to.equal(1);
                    });
                });
            }

            describe(`a part of a stream without a length, ${name}, reset ${kind}`, () => {
                const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
                const start = (identity: string) => `HTTP/1.1 200 OK\r\n${identity}${stream}\r\n`;

                function respondWithEvents(first: string, next: string): void {
                    respondFirst = (socket, identity) => endWithReset(socket, start(identity) + first, kind);
                    respondNext = (socket, identity) => void socket.end(start(identity) + next);
                }

                it("is not ended as whole where the stream can't be resumed, nor sent again", async () => {
                    respondWithEvents(event(1), event(2));
                    const { isWhole, text } = await call("/summaries/1", bodyBytes, promptHeaders);
                    expect(isWhole).to.equal(false);
                    expect(event(1).startsWith(text)).to.equal(true);
                    expect(heads.length).to.equal(1);
                });
                it("is continued after the last whole event by another engine", async () => {
                    respondWithEvents(`${event(1)}${event(2)}id: 3\nda`, event(3) + event(4));
                    expect(await call("/labels/1", bodyBytes, promptHeaders))
                        .to.deep.equal({ status: 200, text: [1, 2, 3, 4].map(event).join(""), isWhole: true });
                    expect(heads.map(head => getHeader(head, "Last-Event-Id"))).to.deep.equal([undefined, "2"]);
                });
                it("is continued after whole events only, by another engine", async () => {
                    respondWithEvents(event(1) + event(2), event(3) + event(4));
                    expect(await call("/labels/1", bodyBytes, promptHeaders))
                        .to.deep.equal({ status: 200, text: [1, 2, 3, 4].map(event).join(""), isWhole: true });
                });
                it("of a stream that its caller resumes is continued after the last whole event", async () => {
                    respondWithEvents(`${event(4)}id: 5\nda`, event(5) + event(6));
                    const headers = { ...promptHeaders, "Last-Event-Id": "3", "Resumes": "request-0" };
                    expect(await call("/labels/1", bodyBytes, headers))
                        .to.deep.equal({ status: 200, text: [4, 5, 6].map(event).join(""), isWhole: true });
                    expect(heads.map(head => getHeader(head, "Last-Event-Id"))).to.deep.equal(["3", "4"]);
                });
            });
        }
    }

    for (const status of ["000", "099", "600", "999"]) {
        for (const [name, bodyBytes] of [["a long upload", uploadBytes], ["a short body", 4]] as const) {
            describe(`status ${status}, ${name}`, () => {
                beforeEach(() => {
                    respondFirst = (socket, identity) =>
                        void socket.write(`HTTP/1.1 ${status} Odd\r\n${identity}Content-Length: 4\r\n\r\npart`);
                    respondNext = (socket, identity) =>
                        void socket.write(
                            `HTTP/1.1 200 OK\r\n${identity}${stream}Content-Length: ${events.length}\r\n\r\n${events}`,
                        );
                });

                it("is not passed on for a safe request, and its connection is closed", async () => {
                    expect(await call("/reads/1", bodyBytes))
                        .to.deep.equal({ status: 200, text: events, isWhole: true });
                    await waitForClose();
                });
                it("is not passed on for an unsafe request, which is not sent again", async () => {
                    const { status: callerStatus, text } = await call("/releases/1", bodyBytes);
                    expect(callerStatus).to.equal(502);
                    expect(text).not.to.include("part");
                    expect(heads.length).to.equal(1);
                    await waitForClose();
                });
                it("is not passed on for a stream that can't be resumed", async () => {
                    expect((await call("/summaries/1", bodyBytes, promptHeaders)).status).to.equal(502);
                    expect(heads.length).to.equal(1);
                    await waitForClose();
                });
                it("is not passed on for a stream that can be resumed", async () => {
                    expect(await call("/labels/1", bodyBytes, promptHeaders))
                        .to.deep.equal({ status: 200, text: events, isWhole: true });
                    await waitForClose();
                });
            });
        }
    }

    async function waitForClose(): Promise<void> {
        const end = performance.now() + 2_000;
        faultySocket?.resume();
        while (faultySocket && !faultySocket.destroyed && performance.now() < end) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(faultySocket?.destroyed).to.equal(true);
    }
});
