import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { expect } from "chai";
import {
    CompanionService,
    createPeerTransports,
    startInternalServer,
    VouchRequestSchema,
    VouchResponseSchema,
} from "../../src/protocol";

describe("createPeerTransports", () => {
    const rounds = 60;
    const maximumTurns = 6;

    /** Calls a server once, then stops both, the client some turns of the event loop after the server. */
    async function stopBothEnds(turns: number): Promise<bigint> {
        const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
            router.service(CompanionService, {
                vouch: () => create(VouchResponseSchema, { configurationRevision: 7n }),
            });
        });
        const transports = createPeerTransports();
        const client = createClient(CompanionService, transports.getTransport(server.address));
        const { configurationRevision } = await client.vouch(create(VouchRequestSchema));
        const stopping = server.stop();
        for (let turn = 0; turn < turns; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
        await Promise.all([stopping, transports.stop()]);
        return configurationRevision;
    }

    it("survives a peer that stops while it is being called", async () => {
        const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
            router.service(CompanionService, { vouch: () => create(VouchResponseSchema) });
        });
        const transports = createPeerTransports();
        const client = createClient(CompanionService, transports.getTransport(server.address));
        await client.vouch(create(VouchRequestSchema));
        const stopping = server.stop();
        for (let turn = 0; turn < rounds; turn++) {
            await client.vouch(create(VouchRequestSchema)).catch(() => undefined);
            await new Promise(resolve => setImmediate(resolve));
        }
        await stopping;
        await transports.stop();
    });

    it("survives a peer that stops while the connections to it are closed", async () => {
        const errors: Error[] = [];
        const listener = (error: Error) => errors.push(error);
        process.on("uncaughtException", listener);
        const revisions: bigint[] = [];
        for (let round = 0; round < rounds; round++) {
            revisions.push(await stopBothEnds(round % maximumTurns));
        }
        process.off("uncaughtException", listener);
        expect(revisions).to.deep.equal(Array.from({ length: rounds }, () => 7n));
        expect(errors).to.deep.equal([]);
    });

    it("throws nothing while peers close their connections", async () => {
        const pairs = await Promise.all([..."01234567"].map(async () => {
            const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
                router.service(CompanionService, { vouch: () => create(VouchResponseSchema) });
            });
            const transports = createPeerTransports();
            const client = createClient(CompanionService, transports.getTransport(server.address));
            await client.vouch(create(VouchRequestSchema));
            return { server, transports };
        }));
        await Promise.all(pairs.map(async ({ server, transports }, index) => {
            const stopping = server.stop();
            for (let turn = 0; turn < index; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            await transports.stop();
            await stopping;
        }));
    });
});
