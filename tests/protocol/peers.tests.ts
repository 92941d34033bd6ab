import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { expect } from "chai";
import { once } from "node:events";
import { connect as connectPlain } from "node:net";
import { createSecureContext } from "node:tls";
import { createMetrics, Metrics } from "../../src/metrics";
import {
    CommandSchema,
    CompanionService,
    ConsensusService,
    ControlService,
    createPeerTransports,
    ExecuteRequestSchema,
    InternalServer,
    peerIdentityKey,
    PeerTransports,
    ProcessRecordSchema,
    ProcessRole,
    SessionUpdateSchema,
    startInternalServer,
} from "../../src/protocol";
import { TlsMaterial } from "../../src/security";
import { createTestAuthority } from "../security/createTestAuthority";
import { createTestIdentity, TestIdentity } from "../security/createTestIdentity";

/** Waits until a condition holds. */
async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("the internal server and its clients", () => {
    const authority = createTestAuthority("trusted");
    const otherAuthority = createTestAuthority("other");
    const memberMaterial = authority.issue({
        names: ["basilwing://control/member-1", "basilwing://companion/member-1"],
    });
    const entryMaterial = authority.issue({ names: ["basilwing://entry/entry-1"] });
    const sidecarMaterial = authority.issue({ names: ["basilwing://companion/companion-1"] });
    let metrics: Metrics;
    let serverIdentity: TestIdentity;
    let server: InternalServer;
    let callers: string[];
    let clients: PeerTransports[];

    beforeEach(async () => {
        metrics = createMetrics();
        callers = [];
        clients = [];
        serverIdentity = createTestIdentity(memberMaterial);
        server = await startServer(serverIdentity);
    });

    afterEach(async () => {
        await Promise.all(clients.map(client => client.stop()));
        await server.stop();
    });

    function startServer(identity: TestIdentity | undefined): Promise<InternalServer> {
        return startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
            router.service(ConsensusService, { requestVote: () => ({ granted: true }) });
            router.service(CompanionService, { vouch: () => ({ leaseFresh: true }) });
            router.service(ControlService, {
                query: (request, context) => {
                    expect(request.argument).to.equal("");
                    callers.push(context.values.get(peerIdentityKey)?.instanceId ?? "unidentified");
                    return { index: 1n };
                },
                execute: () => ({ results: [] }),
                async *session(updates) {
                    for await (const update of updates) {
                        callers.push(update.update.case ?? "nothing");
                        yield {};
                    }
                },
            });
        }, { identity, metrics });
    }

    function connect(identity: TestIdentity | undefined): PeerTransports {
        const transports = createPeerTransports({ identity });
        clients.push(transports);
        return transports;
    }

    function connectAs(material: TlsMaterial): PeerTransports {
        return connect(createTestIdentity(material));
    }

    async function getCode(call: Promise<unknown>): Promise<Code | undefined> {
        try {
            await call;
            return undefined;
        }
        catch (error) {
            return ConnectError.from(error).code;
        }
    }

    function query(transports: PeerTransports): Promise<Code | undefined> {
        return getCode(createClient(ControlService, transports.getTransport(server.address)).query({}));
    }

    function getRefusals(): number {
        return metrics.getRefusals()["unauthorized_peer"] ?? 0;
    }

    it("passes the identity of the caller to handlers", async () => {
        expect(await query(connectAs(entryMaterial))).to.equal(undefined);
        expect(callers).to.deep.equal(["entry-1"]);
    });

    describe("lets no one in", () => {
        async function doTest(material: TlsMaterial): Promise<void> {
            const code = await query(connectAs(material));
            expect(code).to.be.oneOf([Code.Unavailable, Code.Aborted, Code.Canceled, Code.Internal]);
            await waitFor(() => getRefusals() > 0);
            expect(callers).to.deep.equal([]);
        }

        const names = ["basilwing://entry/entry-1"];
        it("with a certificate of another authority", () =>
            doTest({ ...otherAuthority.issue({ names }), authorities: authority.certificate }));
        it("with an expired certificate", () =>
            doTest(authority.issue({ names, validUntilMilliseconds: Date.now() - 1_000 })));
        it("with a certificate that names no identity", () => doTest(authority.issue({ names: [] })));
        it("with a certificate that names two instances", () =>
            doTest(authority.issue({ names: [...names, "basilwing://entry/entry-2"] })));
        it("with a certificate that names an unknown role", () =>
            doTest(authority.issue({ names: ["basilwing://operator/entry-1"] })));

        it("without a certificate", async () => {
            const transports = connect({
                ...createTestIdentity(entryMaterial),
                getSecureContext: () => createSecureContext({ ca: authority.certificate }),
            });
            expect(await query(transports)).to.not.equal(undefined);
            await waitFor(() => getRefusals() > 0);
            expect(callers).to.deep.equal([]);
        });

        it("without TLS on a TLS port", async () => {
            expect(await query(connect(undefined))).to.not.equal(undefined);
            const [host, port] = server.address.split(":");
            const socket = connectPlain(Number(port), host);
            socket.on("error", () => undefined);
            socket.write("GET / HTTP/1.1\r\n\r\n");
            await once(socket, "close");
            expect(callers).to.deep.equal([]);
        });

        it("once its authority is removed, even on open connections", async () => {
            const transports = connectAs(entryMaterial);
            expect(await query(transports)).to.equal(undefined);
            serverIdentity.setMaterial({ ...memberMaterial, authorities: otherAuthority.certificate });
            expect(await query(transports)).to.not.equal(undefined);
            expect(callers).to.deep.equal(["entry-1"]);
            expect(getRefusals()).to.be.greaterThan(0);
        });
    });

    describe("allows each role its own calls", () => {
        async function doTest(material: TlsMaterial, expected: Record<string, Code | undefined>): Promise<void> {
            const transport = connectAs(material).getTransport(server.address);
            const control = createClient(ControlService, transport);
            const record = create(SessionUpdateSchema, {
                update: {
                    case: "record",
                    value: create(ProcessRecordSchema, { instanceId: "entry-1", role: ProcessRole.ENTRY }),
                },
            });
            const execute = (command: Parameters<typeof create<typeof CommandSchema>>[1]) =>
                getCode(control.execute(create(ExecuteRequestSchema, { commands: [create(CommandSchema, command)] })));
            const codes = {
                vote: await getCode(createClient(ConsensusService, transport).requestVote({})),
                vouch: await getCode(createClient(CompanionService, transport).vouch({})),
                register: await getCode(drain(control.session(one(record)))),
                claim: await execute({ command: { case: "openClaim", value: {} } }),
                configure: await execute({ command: { case: "configuration", value: {} } }),
                rollout: await execute({ command: { case: "rolloutStep", value: {} } }),
            };
            expect(codes).to.deep.equal(expected);
        }

        const denied = Code.PermissionDenied;
        const all = {
            vote: denied,
            vouch: denied,
            register: denied,
            claim: denied,
            configure: denied,
            rollout: denied,
        };

        it("entry", () => doTest(entryMaterial, { ...all, vouch: undefined, register: undefined, claim: undefined }));
        it("companion", () => doTest(sidecarMaterial, { ...all, vouch: undefined }));
        it("control", () =>
            doTest(memberMaterial, {
                ...all,
                vote: undefined,
                vouch: undefined,
                claim: undefined,
                configure: undefined,
                rollout: undefined,
            }));

        it("counts refusals", async () => {
            const client = createClient(ConsensusService, connectAs(sidecarMaterial).getTransport(server.address));
            await getCode(client.requestVote({}));
            expect(getRefusals()).to.equal(1);
        });
    });

    describe("connects only to a process with the right identity", () => {
        async function doTest(serverMaterial: TlsMaterial): Promise<void> {
            serverIdentity.setMaterial(serverMaterial);
            expect(await query(connectAs(entryMaterial))).to.not.equal(undefined);
            expect(callers).to.deep.equal([]);
        }

        it("not to a sidecar instead of a control member", () => doTest(sidecarMaterial));
        it("not to a process of another authority", () =>
            doTest({
                ...otherAuthority.issue({ names: ["basilwing://control/member-1"] }),
                authorities: authority.certificate,
            }));

        it("not to a listener without TLS", async () => {
            const plainServer = await startServer(undefined);
            const client = createClient(ControlService, connectAs(entryMaterial).getTransport(plainServer.address));
            expect(await getCode(client.query({}))).to.not.equal(undefined);
            expect(callers).to.deep.equal([]);
            await plainServer.stop();
        });

        it("not without TLS beyond loopback", async () => {
            const client = createClient(ControlService, connect(undefined).getTransport("192.0.2.1:1"));
            expect(await getCode(client.query({}))).to.equal(Code.PermissionDenied);
        });
    });

    it("continues across a change of certificates and authorities", async () => {
        const identity = createTestIdentity(entryMaterial);
        const transports = connect(identity);
        expect(await query(transports)).to.equal(undefined);
        const both = authority.certificate + otherAuthority.certificate;
        serverIdentity.setMaterial({ ...memberMaterial, authorities: both });
        identity.setMaterial({ ...entryMaterial, authorities: both });
        expect(await query(transports)).to.equal(undefined);
        identity.setMaterial({
            ...otherAuthority.issue({ names: ["basilwing://entry/entry-1"] }),
            authorities: both,
        });
        serverIdentity.setMaterial({
            ...otherAuthority.issue({ names: ["basilwing://control/member-1"] }),
            authorities: otherAuthority.certificate,
        });
        expect(await query(transports)).to.equal(undefined);
        expect(callers).to.deep.equal(["entry-1", "entry-1", "entry-1"]);
    });

    it("does not listen without TLS beyond loopback", async () => {
        const listener = { address: "0.0.0.0", port: 0 };
        let message = "";
        await startInternalServer(listener, () => undefined).catch((error: Error) => message = error.message);
        expect(message).to.contain("needs TLS");
    });
});

/** Reads a stream to its end. */
async function drain(stream: AsyncIterable<unknown>): Promise<void> {
    for await (const message of stream) {
        void message;
    }
}

/** Creates a stream of one message. */
async function* one<T>(message: T): AsyncIterable<T> {
    yield message;
}
