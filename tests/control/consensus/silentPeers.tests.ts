/*
 * Tests that a group keeps or finds a leader soon although the open connections between its members fall silent for good.
 */
import { expect } from "chai";
import { rm } from "node:fs/promises";
import { ConsensusRole, createConnectPeers } from "../../../src/control/consensus";
import { createPeerTransports, PeerTransports } from "../../../src/protocol";
import { SilencingProxy, startSilencingProxy } from "../../support/startSilencingProxy";
import { startTestMember, TestMember } from "./startTestMember";
import { waitUntil } from "./waitUntil";

describe("silent connections between members", () => {
    let members: TestMember[];
    let proxies: SilencingProxy[];
    let transports: PeerTransports[];

    beforeEach(async () => {
        members = await Promise.all([1, 2, 3].map(() => startTestMember()));
        proxies = await Promise.all(members.map(member => startSilencingProxy(() => member.address)));
        transports = members.map(() => createPeerTransports());
        const addresses = proxies.map(proxy => proxy.address);
        members.forEach((member, index) =>
            member.start({
                address: addresses[index]!,
                peers: createConnectPeers(transports[index]!),
                join: { addresses, startsGroup: true },
                timing: {
                    heartbeatIntervalMilliseconds: 75,
                    minimumElectionTimeoutMilliseconds: 350,
                    maximumElectionTimeoutMilliseconds: 700,
                    maintenanceIntervalMilliseconds: 250,
                },
            })
        );
        await waitUntil(() => getLeader() !== undefined);
        await commit();
    });

    afterEach(async () => {
        await Promise.all(members.map(member => member.log.stop()));
        await Promise.all(transports.map(transport => transport.stop()));
        proxies.forEach(proxy => proxy.stop());
        await Promise.all(members.map(member => member.stop()));
        await Promise.all(members.map(member => rm(member.folder, { recursive: true })));
    });

    function getLeader(): TestMember | undefined {
        return members.find(member => member.log.getStatus().role === ConsensusRole.Leader);
    }

    /** Proposes commands until one is committed, and returns the milliseconds that this took. */
    async function commit(): Promise<number> {
        const start = performance.now();
        let isCommitted = false;
        while (!isCommitted) {
            await waitUntil(() => getLeader() !== undefined);
            isCommitted = (await getLeader()!.log.propose(Buffer.from("a"))).kind === "committed";
        }
        return performance.now() - start;
    }

    for (const round of [1, 2, 3]) {
        it(`commits again soon, round ${round}`, async () => {
            proxies.forEach(proxy => proxy.silence());
            expect(await commit()).to.be.below(3_000);
        });
    }

    it("commits again soon where the leader has stopped and the followers' connections are silent", async () => {
        const leader = getLeader()!;
        const position = members.indexOf(leader);
        proxies.forEach(proxy => proxy.silence());
        proxies[position]!.ignoreConnections(1_000);
        await leader.log.stop();
        expect(await commit()).to.be.below(3_000);
    });
});
