import { expect } from "chai";
import { rm } from "node:fs/promises";
import { ConsensusRole } from "../../../src/control/consensus";
import { startTestMember, TestMember } from "./startTestMember";
import { waitUntil } from "./waitUntil";

describe("createConnectPeers", () => {
    let members: TestMember[] = [];

    afterEach(async () => {
        // Stops the same component of all members at once, so that no member uses a connection that another has closed.
        const parts = members.map(member => member.getParts());
        for (let position = 0; position < (parts[0]?.length ?? 0); position += 1) {
            await Promise.all(parts.map(list => list[position]!.stop()));
        }
        await Promise.all(members.map(member => rm(member.folder, { recursive: true })));
        members = [];
    });

    async function startGroup(memberCount: number): Promise<TestMember> {
        members = await Promise.all(Array.from({ length: memberCount }, () => startTestMember()));
        const addresses = members.map(member => member.address);
        members.forEach(member => member.start({ join: { addresses, startsGroup: true } }));
        return waitForLeader();
    }

    async function waitForLeader(): Promise<TestMember> {
        await waitUntil(() => getLeader() !== undefined);
        return getLeader()!;
    }

    function getLeader(): TestMember | undefined {
        return members.find(member => member.log.getStatus().role === ConsensusRole.Leader);
    }

    /** Proposes commands one at a time to the current leader, and repeats a command until it is committed. */
    async function propose(prefix: string, count: number): Promise<string[]> {
        const commands = [...Array(count).keys()].map(number => `${prefix}${number}`);
        for (const command of commands) {
            let isCommitted = false;
            while (!isCommitted) {
                const leader = await waitForLeader();
                const outcome = await leader.log.propose(Buffer.from(command));
                expect(outcome.kind).to.be.oneOf(["committed", "notLeader"]);
                isCommitted = outcome.kind === "committed";
            }
        }
        return commands;
    }

    /** Reads at a member, and repeats the read until a leader confirms it. */
    async function read(member: TestMember): Promise<readonly string[]> {
        while ((await member.log.readBarrier()).kind !== "passed") {
            await waitForLeader();
        }
        return member.machine.getCommands();
    }

    it("serves a group with one member", async () => {
        const leader = await startGroup(1);
        const commands = await propose("a", 10);
        expect(await read(leader)).to.deep.equal(commands);
    });

    it("replicates to three members, serves reads at followers and catches a restarted member up", async () => {
        const leader = await startGroup(3);
        const first = await propose("a", 50);
        const follower = members.find(member => member !== leader)!;
        expect(await read(follower)).to.deep.equal(first);
        const port = Number(follower.address.split(":")[1]);
        await follower.stop();
        members = members.filter(member => member !== follower);
        const second = await propose("b", 50);
        const restarted = await startTestMember(follower.folder, port);
        members.push(restarted);
        restarted.start({});
        await waitUntil(() => restarted.machine.getCommands().length === 100);
        expect(restarted.machine.getCommands()).to.deep.equal([...first, ...second]);
    });

    it("elects another leader when the leader stops", async () => {
        const leader = await startGroup(3);
        const commands = await propose("a", 10);
        const followers = members.filter(member => member !== leader);
        await leader.stop();
        members = followers;
        const more = await propose("b", 10);
        const successor = await waitForLeader();
        expect(await read(successor)).to.deep.equal([...commands, ...more]);
        await rm(leader.folder, { recursive: true });
    });
});
