import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    LeadershipResponse,
    LeadershipResponseSchema,
    MemberRole,
    MemberSchema,
    VoteRequestSchema,
} from "../../../src/protocol";
import { createTestGroup } from "./createTestGroup";

describe("createFormerLease", () => {
    const otherMember = create(MemberSchema, { memberId: "m9.1", address: "m9", role: MemberRole.VOTER });

    /**
     * Restarts a member that no message of the leader reaches, and requests its vote.
     * @param answers - What the other members respond; undefined for none.
     * @param expected - Whether the vote is granted before an election timeout has passed.
     */
    async function doTest(
        answers: (Partial<Pick<LeadershipResponse, "memberId" | "leads" | "members">> | undefined)[],
        expected: boolean,
    ): Promise<void> {
        const group = await createTestGroup({ seed: 5, memberCount: 3 });
        const leader = await group.waitForLeader();
        const voter = group.members.find(member => member !== leader)!;
        const others = group.members.filter(member => member !== voter);
        others.forEach(other => {
            group.network.cut(voter.address, other.address);
            group.network.cut(other.address, voter.address);
        });
        group.crash(voter);
        await group.start(voter, {
            peers: {
                ...group.network.createPeers(voter.address),
                requestLeadership: address => {
                    const index = others.findIndex(other => other.address === address);
                    const answer = answers[index];
                    return Promise.resolve(
                        answer && create(LeadershipResponseSchema, {
                            memberId: others[index]!.storage!.memberId,
                            ...answer,
                        }),
                    );
                },
            },
        });
        const { term, lastIndex } = voter.log!.getStatus();
        const request = create(VoteRequestSchema, {
            group: "test",
            term: term + 1n,
            candidateId: "x",
            lastIndex,
            lastTerm: term,
            preVote: true,
        });
        expect((await group.waitFor(voter.log!.handleVote(request), 100))?.granted).to.equal(expected);
        await group.stop();
    }

    it("ends once all members respond that they do not lead", () => doTest([{}, {}], true));
    it("ends if another process responds at a member's address", () => doTest([{ memberId: "new" }, {}], true));
    it("does not end while a member leads", () => doTest([{ leads: true }, {}], false));
    it("does not end while a member does not respond", () => doTest([undefined, {}], false));
    it("does not end while a member that another one knows does not respond", () =>
        doTest([{ members: [otherMember] }, {}], false));
});
