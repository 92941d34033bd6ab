import { expect } from "chai";
import { ConsensusRole, ReadBarrierOutcome } from "../../../src/control/consensus";
import { Applier } from "../../../src/control/consensus/Applier";
import { ConsensusState } from "../../../src/control/consensus/ConsensusState";
import { createReadBarrier } from "../../../src/control/consensus/createReadBarrier";
import { Leadership } from "../../../src/control/consensus/Leadership";

describe("createReadBarrier", () => {
    async function doTest(
        index: bigint | undefined,
        appliedIndex: bigint,
        expected: ReadBarrierOutcome,
    ): Promise<void> {
        const state = {
            options: { group: "test", peers: {} },
            timing: { proposalTimeoutMilliseconds: 1 },
            isStopped: () => false,
            getRole: () => ConsensusRole.Leader,
            getLeaderAddress: () => "m0",
        } as unknown as ConsensusState;
        const leadership = { confirmLeadership: async () => index } as unknown as Leadership;
        const applier = {
            waitForIndex: async (awaited: bigint) => awaited <= appliedIndex,
            getAppliedIndex: () => appliedIndex,
        } as unknown as Applier;
        expect(await createReadBarrier(state, leadership, applier).wait()).to.deep.equal(expected);
    }

    it("passes once the read index is applied", () => doTest(7n, 7n, { kind: "passed", index: 7n }));

    it("tells that no leader is confirmed", () => doTest(undefined, 7n, { kind: "noLeader", leaderAddress: "m0" }));

    it("tells that the read index was not applied in time", () =>
        doTest(7n, 5n, { kind: "notApplied", leaderAddress: "m0", index: 7n, appliedIndex: 5n }));
});
