import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Socket } from "node:net";
import { createBackendLink } from "../../../platform/backends";
import { createServiceAdapter } from "../../../src/backends";
import { collectBody } from "../../../src/forwarding/collectBody";
import { ServiceWorkSchema } from "../../../src/protocol";
import { createTestInstance } from "../../feed/createTestFeed";
import { createTestRequest } from "../../forwarding/createTestRequest";
import { RawServer, startRawServer } from "../startRawServer";

// Report of another operator: heads that end in the middle reached callers as a 200 with an empty or short body.
describe("a response whose head ends in the middle", () => {
    type End = "finish" | "reset";

    const fields = "Basilwing-Request-Id: request-1\r\nX-Request-Id: request-1\r\nBasilwing-Response-Seal: seal\r\n";
    const heads: Record<string, string> = {
        "with a length": `HTTP/1.1 200 OK\r\n${fields}Content-Length: 12\r\n\r\n`,
        "with a length of 0": `HTTP/1.1 200 OK\r\n${fields}Content-Length: 0\r\n\r\n`,
        "in chunks": `HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n`,
        "without either": `HTTP/1.1 200 OK\r\n${fields}\r\n`,
        "on a closing connection": `HTTP/1.1 200 OK\r\nConnection: close\r\n${fields}Content-Length: 12\r\n\r\n`,
        "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${fields}\r\n`,
        "with several lines of one name":
            `HTTP/1.1 200 OK\r\n${fields}X: 1\r\nX: 2\r\nX: 3\r\nContent-Length: 12\r\n\r\n`,
        "without content": `HTTP/1.1 204 No Content\r\n${fields}\r\n`,
        "after an informational response":
            `HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n${fields}Content-Length: 12\r\n\r\n`,
        "after an informational response that closes":
            `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n${fields}Content-Length: 12\r\n\r\n`,
    };
    const wholeResponse = `HTTP/1.1 200 OK\r\n${fields}Content-Length: 2\r\n\r\nok`;
    /** The number of requests that are sent at the same time. */
    const concurrency = 24;

    let server: RawServer;
    before(async () => server = await startRawServer(respond));
    after(() => server.stop());

    /** Sends the first bytes of the head that the request's path names, then ends the connection. */
    function respond(socket: Socket, request: string): void {
        const [, name, position, end] = /^\w+ \/([^/]+)\/(\d+)\/(\w+) /.exec(request) ?? [];
        if (name === undefined) {
            socket.write(wholeResponse);
            return;
        }
        socket.write(heads[decodeURIComponent(name)]!.slice(0, Number(position)), () => {
            if (end === "finish") {
                socket.end();
            }
            else {
                setTimeout(() => socket.resetAndDestroy(), 5);
            }
        });
    }

    /** Returns the positions at which a head that ends there was taken for a whole response. */
    async function findTakenForWhole(name: string, isTakenForWhole: (target: string) => Promise<boolean>) {
        const cuts = Array.from({ length: heads[name]!.length }, (...[, position]) => position)
            .flatMap(position => (["finish", "reset"] as End[]).map(end => ({ position, end })));
        const found: string[] = [];
        for (let start = 0; start < cuts.length; start += concurrency) {
            await Promise.all(
                cuts.slice(start, start + concurrency).map(async ({ position, end }) => {
                    if (await isTakenForWhole(`/${encodeURIComponent(name)}/${position}/${end}`)) {
                        found.push(`${position} ${end}`);
                    }
                }),
            );
        }
        return found;
    }

    function sendOverLink(link: ReturnType<typeof createBackendLink>, target: string) {
        const headers = ["Host", "one.example", "Basilwing-Request-Id", "request-1"];
        return link.send({
            request: createTestRequest({ target, headers }),
            instance: createTestInstance({ address: server.address }),
            maximumConnections: concurrency,
            workspace: "alpha",
            remainingMilliseconds: 1_000,
            priority: 0,
            cache: { kind: "private", salt: "salt" },
            lastEventId: undefined,
            signal: new AbortController().signal,
            goneSignal: new AbortController().signal,
            onActivity: () => undefined,
        });
    }

    async function isWholeOverLink(link: ReturnType<typeof createBackendLink>, target: string): Promise<boolean> {
        const result = await sendOverLink(link, target);
        return result.kind === "answered" && await collectBody(result) !== undefined;
    }

    for (const name of Object.keys(heads)) {
        it(`is lost, ${name}`, async () => {
            const link = createBackendLink();
            expect(await findTakenForWhole(name, target => isWholeOverLink(link, target))).to.deep.equal([]);
            await link.stop();
        });

        it(`is lost on a kept connection, ${name}`, async () => {
            const link = createBackendLink();
            const found = await findTakenForWhole(name, async target => {
                expect(await isWholeOverLink(link, "/")).to.equal(true);
                return isWholeOverLink(link, target);
            });
            expect(found).to.deep.equal([]);
            await link.stop();
        });

        for (const idempotent of [false, true]) {
            it(`fails a call of the product's own client, ${name}, ${idempotent ? "pooled" : "dedicated"}`, async () => {
                const adapter = createServiceAdapter({ address: `http://${server.address}` });
                const found = await findTakenForWhole(name, async path => {
                    const work = create(ServiceWorkSchema, { service: "actions", method: "POST", path, idempotent });
                    let lastKind = "";
                    for await (const { kind } of adapter.call("request-1", work, new AbortController().signal)) {
                        lastKind = kind;
                    }
                    return lastKind === "end";
                });
                expect(found).to.deep.equal([]);
                await adapter.stop();
            });
        }
    }
});
