import { create, MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "chai";
import { AddressInfo, createServer, Socket } from "node:net";
import { createServiceAdapter, FailureCause, ServiceAdapter, ServiceEvent } from "../../src/backends";
import { ServiceWork, ServiceWorkSchema } from "../../src/protocol";
import { createRunLog, ServiceStandIn, ServiceStandInOptions, startServiceStandIn } from "../../src/standIns";
import { createAutoAdvancingClock } from "../standIns/createAutoAdvancingClock";

const neverAborted = new AbortController().signal;

function createWork(changes: MessageInitShape<typeof ServiceWorkSchema> = {}): ServiceWork {
    return create(ServiceWorkSchema, {
        service: "lockers",
        method: "POST",
        path: "/release",
        headers: [{ name: "Content-Type", value: "application/json" }, { name: "Connection", value: "close" }],
        body: Buffer.from(JSON.stringify({ key: "locker-7" })),
        idempotent: false,
        ...changes,
    });
}

async function collect(events: AsyncIterable<ServiceEvent>): Promise<ServiceEvent[]> {
    const collected: ServiceEvent[] = [];
    for await (const event of events) {
        collected.push(event);
    }
    return collected;
}

function getBody(events: readonly ServiceEvent[]): unknown {
    const parts = events.flatMap(event => event.kind === "body" ? [event.data] : []);
    return JSON.parse(Buffer.concat(parts).toString("utf8"));
}

describe("createServiceAdapter", () => {
    const runLog = createRunLog();
    let service: ServiceStandIn;
    let adapter: ServiceAdapter & { stop(): Promise<void>; };

    async function start(options: ServiceStandInOptions = {}): Promise<void> {
        service = await startServiceStandIn({ clock: createAutoAdvancingClock(), runLog, ...options });
        adapter = createServiceAdapter({ address: service.address });
    }

    afterEach(async () => {
        await adapter.stop();
        await service.stop();
    });

    describe("call", () => {
        it("runs a release and reads its status from another replica", async () => {
            await start();
            const release = await collect(adapter.call("request-1", createWork(), neverAborted));
            expect(release[0]).to.include({ kind: "head", status: 200 });
            expect(release.at(-1)).to.deep.equal({ kind: "end" });
            expect(getBody(release)).to.deep.equal({ action: "release", key: "locker-7", runs: 1 });
            const body = new Uint8Array();
            const work = createWork({ method: "GET", path: "/status?key=locker-7", idempotent: true, body });
            const sibling = await startServiceStandIn({ runLog });
            const siblingAdapter = createServiceAdapter({ address: sibling.address });
            const status = await collect(siblingAdapter.call("request-2", work, neverAborted));
            expect(getBody(status)).to.deep.equal({ key: "locker-7", runs: 1 });
            await siblingAdapter.stop();
            await sibling.stop();
        });

        for (const idempotent of [false, true]) {
            const name = idempotent ? "on pooled connections" : "on a dedicated connection";

            it(`reports that nothing was sent if no connection could be opened, ${name}`, async () => {
                await start();
                await service.stop();
                const events = await collect(adapter.call("request-1", createWork({ idempotent }), neverAborted));
                expect(events).to.have.lengthOf(1);
                expect(events[0]).to.include({ kind: "failed", hasSent: false, cause: FailureCause.Unreachable });
            });

            it(`reports that the call may have been sent if the connection was reset, ${name}`, async () => {
                await start({ faults: { resetBeforeRunShare: 1 } });
                const events = await collect(adapter.call("request-1", createWork({ idempotent }), neverAborted));
                expect(events).to.have.lengthOf(1);
                expect(events[0]).to.include({ kind: "failed", hasSent: true, cause: FailureCause.ConnectionLost });
            });

            it(`detects a truncated response, ${name}`, async () => {
                await start({ faults: { truncatedShare: 1 } });
                const events = await collect(adapter.call("request-1", createWork({ idempotent }), neverAborted));
                expect(events.at(-1)).to.include({ kind: "failed", hasSent: true });
            });

            it(`detects a response with another request's id, ${name}`, async () => {
                await start({ faults: { crossedShare: 1 } });
                const events = await collect(adapter.call("request-1", createWork({ idempotent }), neverAborted));
                expect(events).to.have.lengthOf(1);
                expect(events[0]).to.include({ kind: "failed", hasSent: true, cause: FailureCause.RequestIdMismatch });
            });
        }

        it("runs a call once even if the connection is lost after the run", async () => {
            await start({ faults: { resetAfterRunShare: 1 } });
            const body = Buffer.from(JSON.stringify({ key: "locker-8" }));
            const events = await collect(adapter.call("request-3", createWork({ body }), neverAborted));
            expect(events[0]).to.include({ kind: "failed", hasSent: true });
            expect(await runLog.getRuns("release", "locker-8")).to.equal(1);
        });

        it("reports that nothing was sent if the call is cancelled before a connection is opened", async () => {
            await start();
            const events = await collect(adapter.call("request-1", createWork(), AbortSignal.abort()));
            expect(events).to.have.lengthOf(1);
            expect(events[0]).to.include({ kind: "failed", hasSent: false, cause: FailureCause.Cancelled });
        });

        it("forwards no hop-by-hop headers", async () => {
            await start();
            const events = await collect(adapter.call("request-4", createWork(), neverAborted));
            const head = events[0]!;
            const names = head.kind === "head" ? head.headers.map(header => header.name) : [];
            expect(names).to.include("content-type");
            expect(names).to.not.include.members(["connection"]);
        });
    });

    describe("getIncarnation", () => {
        it("returns another incarnation after a crash", async () => {
            await start();
            const before = await adapter.getIncarnation();
            await service.crash();
            expect(await adapter.getIncarnation()).to.be.a("string").and.not.equal(before);
        });
    });
});

describe("createServiceAdapter, against a server that closes idle connections", () => {
    it("opens a new connection for each call that is not idempotent", async () => {
        let connections = 0;
        const server = createServer(socket => {
            connections += 1;
            socket.on("error", () => socket.destroy());
            socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const adapter = createServiceAdapter({ address });
        for (let call = 1; call <= 3; call++) {
            const events = await collect(adapter.call(`request-${call}`, createWork(), neverAborted));
            expect(events.at(-1)).to.deep.equal({ kind: "end" });
            expect(connections).to.equal(call);
        }
        await adapter.stop();
        await new Promise(resolve => server.close(resolve));
    });
});

describe("createServiceAdapter, for a response without a length or chunks", () => {
    const head = "HTTP/1.1 200 OK\r\n\r\n";

    async function doTest(end: (socket: Socket) => void, idempotent: boolean, expected: ServiceEvent["kind"]) {
        const server = createServer(socket => {
            socket.on("error", () => socket.destroy());
            socket.on("data", () => {
                // The bytes must have arrived before a reset, which discards data in transit.
                socket.write(`${head}abcd`, () => setTimeout(() => end(socket), 20));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const adapter = createServiceAdapter({ address });
        const events = await collect(adapter.call("request-1", createWork({ idempotent }), neverAborted));
        await adapter.stop();
        await new Promise(resolve => server.close(resolve));
        expect(events.at(-1)?.kind).to.equal(expected);
    }

    for (const idempotent of [false, true]) {
        const name = idempotent ? "on pooled connections" : "on a dedicated connection";

        it(`takes the end of its connection for its end, ${name}`, () =>
            doTest(socket => socket.end(), idempotent, "end"));
        it(`does not take a reset of its connection for its end, ${name}`, () =>
            doTest(socket => socket.resetAndDestroy(), idempotent, "failed"));
    }
});
