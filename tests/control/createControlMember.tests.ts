import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExecuteResult } from "../../src/control";
import { ConsensusRole } from "../../src/control/consensus";
import { CommandSchema, ProcessRole, ProcessState, QueryKind, VouchRequestSchema } from "../../src/protocol";
import { waitUntil } from "./consensus/waitUntil";
import { getFreeAddress } from "./support/getFreeAddress";
import { startTestControlMember, TestControlMember } from "./support/startTestControlMember";
import { startTestProcess, TestProcess } from "./support/startTestProcess";

describe("createControlMember", function() {
    this.timeout(60_000);

    const maximumWaitMilliseconds = 30_000;
    let folder: string;
    let addresses: string[];
    let members: TestControlMember[];
    let processes: TestProcess[];
    let changeCount: number;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-control-"));
        const initialConfigurationFile = join(folder, "configuration.json");
        await writeFile(initialConfigurationFile, "{\"settings\":{\"limits\":{\"requestsPerSecond\":1}}}");
        addresses = await Promise.all([1, 2, 3].map(getFreeAddress));
        members = await Promise.all(
            addresses.map((address, index) =>
                startTestControlMember(address, addresses, join(folder, String(index)), { initialConfigurationFile })
            ),
        );
        processes = await Promise.all([
            startTestProcess("e0", ProcessRole.ENTRY, addresses),
            startTestProcess("c0", ProcessRole.COMPANION, addresses),
            startTestProcess("c1", ProcessRole.COMPANION, addresses),
        ]);
        changeCount = 0;
        await waitUntil(() => processes.every(process => process.membership.authority.isLeaseFresh()));
        await waitUntil(() => processes.every(process => process.configuration.getRevision() === 1n));
        await waitUntil(() => getCandidateIds().length === 2);
    });

    afterEach(async () => {
        await Promise.all(processes.map(process => process.stop()));
        await Promise.all(members.map(member => member.stop()));
        await rm(folder, { recursive: true });
    });

    function getCandidateIds(): string[] {
        return processes[0]!.membership.directory.getCandidates("large").map(record => record.instanceId);
    }

    function commitChange(member: TestControlMember): Promise<ExecuteResult> {
        changeCount++;
        return member.member.client.execute(create(CommandSchema, {
            command: {
                case: "configuration",
                value: {
                    changeId: `change-${changeCount}`,
                    author: "test",
                    expectedRevision: BigInt(changeCount),
                    operations: [{ level: "/", setting: "limits.requestsPerSecond", value: String(changeCount + 1) }],
                },
            },
        }));
    }

    /** Waits until both sidecars have received the sidecar set whose majority can give peer confirmation. */
    async function waitUntilSidecarsHoldSet(): Promise<void> {
        const { client } = members[0]!.member;
        let number = 0;
        while (number === 0) {
            const result = await client.query(QueryKind.COMPANION_SET, "", true);
            const set = result.kind === "answered"
                ? result.value as { number: number; instanceIds: string[]; }
                : undefined;
            number = set?.instanceIds.length === 2 ? set.number : 0;
        }
        const request = create(VouchRequestSchema);
        const getNumber = ({ membership }: TestProcess) =>
            membership.stateHandler.confirmRevision(request).companionSetNumber;
        await waitUntil(() => processes.slice(1).every(process => getNumber(process) === BigInt(number)));
    }

    function getLeader(): TestControlMember {
        return members.find(({ member }) => member.log.getStatus().role === ConsensusRole.Leader)!;
    }

    it("imports the initial configuration and brings a change made at any member into force", async () => {
        for (const member of members) {
            expect((await commitChange(member)).kind).to.equal("committed");
            const revision = BigInt(changeCount + 1);
            expect(await member.member.waitInForce(revision, maximumWaitMilliseconds)).to.deep.equal({
                kind: "inForce",
            });
            expect(processes.every(process => process.configuration.getRevision() === revision)).to.equal(true);
        }
    });

    it("returns each instance's revision at any member", async () => {
        await waitUntil(() => getLeader() !== undefined);
        await members[0]!.member.waitInForce(1n, maximumWaitMilliseconds);
        for (const member of members) {
            const result = await member.member.client.query(QueryKind.DIRECTORY, "", true);
            const instances = result.kind === "answered"
                ? result.value as { instanceId: string; revision: number; }[]
                : [];
            expect(instances.map(({ instanceId, revision }) => `${instanceId} ${revision}`).sort())
                .to.deep.equal(["c0 1", "c1 1", "e0 1"]);
        }
    });

    it("continues after a planned stop of the leader without waiting for its leases to expire", async () => {
        const leader = getLeader();
        members = members.filter(member => member !== leader);
        await leader.stop();
        expect((await commitChange(members[0]!)).kind).to.equal("committed");
        expect(await members[1]!.member.waitInForce(2n, maximumWaitMilliseconds)).to.deep.equal({ kind: "inForce" });
        expect(processes.every(process => process.membership.authority.isLeaseFresh())).to.equal(true);
    });

    it("removes a leaving sidecar from the candidates and readmits it only as a new incarnation", async () => {
        const sidecar = processes[2]!;
        sidecar.membership.session.setState(ProcessState.LEAVING);
        await waitUntil(() => getCandidateIds().join() === "c0");
        sidecar.membership.session.setState(ProcessState.READY);
        await sidecar.stop();
        processes[2] = await startTestProcess("c1", ProcessRole.COMPANION, addresses);
        await waitUntil(() => getCandidateIds().join() === "c0,c1");
    });

    it("lets many entry processes that restart at once serve while no control member runs", async () => {
        await waitUntilSidecarsHoldSet();
        await Promise.all(members.map(member => member.stop()));
        members = [];
        const peers = processes.slice(1).map(process => process.address);
        const [stoppedEntry] = processes;
        await stoppedEntry!.kill();
        processes = processes.slice(1);
        const restartedEntries = await Promise.all(
            [..."01234567"].map(index =>
                startTestProcess(`e${index}`, ProcessRole.ENTRY, addresses, { getPeerAddresses: async () => peers })
            ),
        );
        processes.push(...restartedEntries);
        await Promise.all(restartedEntries.map(async entry => {
            while (!await entry.membership.authority.checkAuthority()) {
                await new Promise(resolve => setTimeout(resolve, 20));
            }
            expect(entry.configuration.getRevision()).to.equal(1n);
            expect(entry.membership.directory.getCandidates("large").length).to.equal(2);
        }));
    });
});
