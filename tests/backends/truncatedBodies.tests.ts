import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Socket } from "node:net";
import {
    createEngineAdapter,
    createKvCacheStoreClient,
    createPlatformListClient,
    createServiceAdapter,
} from "../../src/backends";
import { OrderSchema, ServiceWorkSchema } from "../../src/protocol";
import { answerFaults } from "../platform/answerFaults";
import { startPartServer } from "../platform/startPartServer";

describe("a client of the product, with an answer that is no whole answer", () => {
    const { signal } = new AbortController();
    const scope = { workspace: "alpha", model: "large", version: "1" };
    const data = Buffer.alloc(4_000_000, "x");
    const completion = {
        requestId: "request-1",
        model: "large",
        version: "1",
        cacheSalt: "salt",
        body: { prompt: "x".repeat(data.length) },
        isChat: false,
        priority: 0,
        seed: 1n,
        skipTokens: 0,
    };

    interface TestedCall {
        statusLine?: string;
        body: string;
        /** The faults that can't be told from a whole answer: those after which all that counts has arrived. */
        harmless?: RegExp;
        /** Makes the call; returns whether it is taken for a success. */
        succeeds(address: string): Promise<boolean>;
    }

    function callService(idempotent: boolean): TestedCall["succeeds"] {
        return async address => {
            const adapter = createServiceAdapter({ address });
            const work = create(ServiceWorkSchema, {
                service: "actions",
                method: "POST",
                path: "/x",
                body: data,
                idempotent,
            });
            const kinds: string[] = [];
            for await (const { kind } of adapter.call("request-1", work, signal)) {
                kinds.push(kind);
            }
            await adapter.stop();
            return kinds.at(-1) !== "failed";
        };
    }

    function callEngine(call: (engine: ReturnType<typeof createEngineAdapter>) => Promise<boolean>) {
        return async (address: string) => {
            const engine = createEngineAdapter({ address });
            return call(engine).finally(() => engine.stop());
        };
    }

    function callStore(call: (store: ReturnType<typeof createKvCacheStoreClient>) => Promise<boolean>) {
        return async (address: string) => {
            const store = createKvCacheStoreClient({ address });
            return call(store).finally(() => store.stop());
        };
    }

    async function getLastKind(engine: ReturnType<typeof createEngineAdapter>): Promise<string | undefined> {
        let lastKind: string | undefined;
        for await (const { kind } of engine.complete(completion, signal)) {
            lastKind = kind;
        }
        return lastKind;
    }

    const chunk = JSON.stringify({
        id: "request-1",
        choices: [{ text: "a" }],
        usage: { prompt_tokens: 1, completion_tokens: 1 },
    });

    const calls: Record<string, TestedCall> = {
        "an upload to a service, on a connection of its own": { body: "answer", succeeds: callService(false) },
        "an upload to a service, on a pooled connection": { body: "answer", succeeds: callService(true) },
        "a completion": {
            body: `data: ${chunk}\n\ndata: [DONE]\n\n`,
            harmless: /^(a body that|less|chunks|a part)/,
            succeeds: callEngine(async engine => await getLastKind(engine) !== "failed"),
        },
        "the refusal of a completion": {
            statusLine: "404 Not Found",
            body: "unknown model",
            succeeds: callEngine(async engine => await getLastKind(engine) !== "failed"),
        },
        "the load of an engine": {
            body: "{}",
            succeeds: callEngine(async engine => await engine.getLoad() !== undefined),
        },
        "an order to an engine": {
            body: "{}",
            succeeds: callEngine(async engine => (await engine.execute(create(OrderSchema, {}))).kind !== "unknown"),
        },
        "the export of cached blocks": {
            body: "data",
            succeeds: callEngine(async engine => await engine.exportCache("hash") !== undefined),
        },
        "the import of cached blocks": {
            body: "done",
            succeeds: callEngine(engine => engine.importCache(["hash"], data)),
        },
        "the entry that is written to a cache store": {
            body: "done",
            succeeds: callStore(store => store.write(scope, "hash", data)),
        },
        "the incarnation of a service": {
            body: `{"incarnation":"1"}`,
            succeeds: async address => {
                const service = createServiceAdapter({ address });
                return await service.getIncarnation().finally(() => service.stop()) !== undefined;
            },
        },
        "the platform's list": {
            body: `{"instances":[]}`,
            succeeds: async address => {
                const list = createPlatformListClient({ address });
                return await list.getInstances(signal).finally(() => list.stop()) !== undefined;
            },
        },
    };

    async function run(call: TestedCall, respondEarly: (socket: Socket) => boolean, respond: (socket: Socket) => void) {
        let requestCount = 0;
        const server = await startPartServer(socket => {
            requestCount += 1;
            return respondEarly(socket);
        }, respond);
        const succeeded = await call.succeeds(`http://${server.address}`);
        await server.stop();
        return { succeeded, requestCount };
    }

    for (const [name, call] of Object.entries(calls)) {
        const whole = {
            statusLine: call.statusLine ?? "200 OK",
            fields: "X-Request-Id: request-1\r\n",
            body: call.body,
        };
        describe(name, () => {
            it("is a success with a whole answer", async () =>
                expect(
                    await run(call, () => false, socket => {
                        const { statusLine, fields, body } = whole;
                        socket.write(
                            `HTTP/1.1 ${statusLine}\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`,
                        );
                    }),
                ).to.deep.equal({ succeeded: true, requestCount: 1 }));
            for (const [fault, respond] of Object.entries(answerFaults)) {
                if (call.harmless?.test(fault) === true) {
                    continue;
                }
                it(`is no success with ${fault}, before the request has been read`, async () =>
                    expect(
                        await run(call, socket => {
                            respond(socket, whole);
                            return true;
                        }, () => undefined),
                    ).to.deep.equal({ succeeded: false, requestCount: 1 }));
                it(`is no success with ${fault}, after the request has been read`, async () =>
                    expect(await run(call, () => false, socket => respond(socket, whole)))
                        .to.deep.equal({ succeeded: false, requestCount: 1 }));
            }
        });
    }

    it("is a failed completion if the stream is reset before its end marker", async () => {
        const fields = "X-Request-Id: request-1\r\n";
        const whole = { statusLine: "200 OK", fields, body: `data: ${chunk}\n\ndata: [DONE` };
        for (const [fault, respond] of Object.entries(answerFaults)) {
            const call = calls["a completion"]!;
            const { succeeded } = await run(call, () => false, socket => respond(socket, whole));
            expect({ fault, succeeded }).to.deep.equal({ fault, succeeded: false });
        }
    });
});
