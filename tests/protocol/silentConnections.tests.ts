/*
 * Tests that a process reaches another one soon although a connection has fallen silent or can't be opened.
 */
import { Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { expect } from "chai";
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createConnection, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
    CompanionService,
    createPeerConnection,
    createPeerTransports,
    InternalServer,
    PeerTransports,
    startInternalServer,
} from "../../src/protocol";
import { SilencingProxy, startSilencingProxy } from "../support/startSilencingProxy";

/** A relay in a process of its own, with the shortest queue of new connections. */
const relayProgram = `const net = require("node:net");
const server = net.createServer(client => {
    const upstream = net.connect(Number(process.argv[1]), "127.0.0.1");
    client.pipe(upstream).pipe(client);
    client.on("error", () => upstream.destroy());
    upstream.on("error", () => client.destroy());
});
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(server.address().port));`;

describe("silent connections", () => {
    let server: InternalServer;
    let proxy: SilencingProxy;
    let transports: PeerTransports;
    let vouchDelayMilliseconds: number;

    beforeEach(async () => {
        vouchDelayMilliseconds = 0;
        server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
            router.service(CompanionService, {
                vouch: async () => {
                    await sleep(vouchDelayMilliseconds);
                    return { configurationRevision: 7n };
                },
            });
        });
        proxy = await startSilencingProxy(() => server.address);
        transports = createPeerTransports();
    });

    afterEach(async () => {
        proxy.stop();
        await transports.stop();
        await server.stop();
    });

    /** Calls until a call is answered, and returns the milliseconds that this took. */
    async function getMillisecondsToAnswer(
        client: Client<typeof CompanionService>,
        timeoutMs: number,
    ): Promise<number> {
        const start = performance.now();
        let isAnswered = false;
        while (!isAnswered) {
            isAnswered = await client.vouch({}, { timeoutMs }).then(() => true, () => false);
            if (!isAnswered) {
                await sleep(20);
            }
        }
        return performance.now() - start;
    }

    it("opens another connection soon after the open one fell silent for good", async () => {
        const client = createClient(CompanionService, transports.getTransport(proxy.address));
        await client.vouch({});
        proxy.silence();
        expect(await getMillisecondsToAnswer(client, 600)).to.be.below(2_000);
    });

    it("opens another connection beside one that was accepted and gets no answer", async () => {
        const client = createClient(CompanionService, transports.getTransport(proxy.address));
        proxy.ignoreConnections(1);
        expect(await getMillisecondsToAnswer(client, 600)).to.be.below(2_000);
    });

    it("keeps a healthy connection on which a call waits for its answer", async () => {
        const client = createClient(CompanionService, transports.getTransport(proxy.address));
        vouchDelayMilliseconds = 900;
        await Promise.all([client.vouch({}, { timeoutMs: 1_000 }), client.vouch({}, { timeoutMs: 1_200 })]);
        expect(proxy.getAcceptedCount()).to.equal(1);
    });

    it("closes the connection that fell silent", async () => {
        const client = createClient(CompanionService, transports.getTransport(proxy.address));
        await client.vouch({});
        proxy.silence();
        await getMillisecondsToAnswer(client, 600);
        while (proxy.getOpenCount() > 1) {
            await sleep(20);
        }
        await client.vouch({});
        expect(proxy.getOpenCount()).to.equal(1);
    });

    it("does not wait for the kernel's retransmissions where the first packets of a connection were lost", async () => {
        const relay = spawn(process.execPath, ["-e", relayProgram, server.address.split(":")[1]!]);
        const port = Number(String((await once(relay.stdout, "data"))[0]));
        const fillers = await fillQueue(relay, port);
        let attemptCount = 0;
        const connection = createPeerConnection(`http://127.0.0.1:${port}`, () => {
            attemptCount += 1;
            return createConnection(port, "127.0.0.1");
        });
        const baseUrl = connection.manager.authority;
        const transport = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager: connection.manager });
        const answering = getMillisecondsToAnswer(createClient(CompanionService, transport), 30_000);
        while (attemptCount < 3) {
            await sleep(20);
        }
        fillers.forEach(filler => filler.destroy());
        relay.kill("SIGCONT");
        await answering;
        await connection.stop();
        relay.kill("SIGKILL");
    });

    /** Stops a process and fills its queue of new connections, so that the packets that open further ones are dropped. */
    async function fillQueue(relay: ChildProcess, port: number): Promise<Socket[]> {
        relay.kill("SIGSTOP");
        const fillers = Array.from(
            { length: 4 },
            () => createConnection(port, "127.0.0.1").on("error", () => undefined),
        );
        await sleep(200);
        expect(fillers.some(filler => filler.connecting)).to.equal(true);
        return fillers;
    }
});
