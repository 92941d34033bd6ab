import { expect } from "chai";
import { ConsensusRole, LogStatus, ReadBarrierOutcome, ReplicatedLog } from "../../../src/control/consensus";
import { createLeadership } from "../../../src/control/distribution/createLeadership";
import { createVirtualTime } from "../../membership/createVirtualTime";

describe("createLeadership", () => {
    it("is assured only after a read barrier in the term, and while the leader's lease runs", async () => {
        const time = createVirtualTime();
        let status = { role: ConsensusRole.Follower, term: 1n } as LogStatus;
        let lease = 0;
        let passBarrier: (outcome: ReadBarrierOutcome) => void = () => {};
        let notify = () => {};
        const log = {
            getStatus: () => status,
            getLeaderLeaseMilliseconds: () => lease,
            readBarrier: () => new Promise<ReadBarrierOutcome>(resolve => passBarrier = resolve),
            addStatusListener: (listener: (status: LogStatus) => void) => {
                notify = () => listener(status);
                return () => {};
            },
        } as unknown as ReplicatedLog;
        const leadership = createLeadership(log, time.createClock());
        expect(leadership.isAssured()).to.equal(false);

        status = { ...status, role: ConsensusRole.Leader, term: 2n };
        lease = 900;
        notify();
        expect(leadership.isAssured()).to.equal(false);

        passBarrier({ kind: "passed", index: 1n });
        await time.advance(1_000);
        expect(leadership.isAssured()).to.equal(true);
        expect(leadership.getAgeMilliseconds()).to.equal(1_000);

        lease = 0;
        expect(leadership.isAssured()).to.equal(false);

        lease = 900;
        status = { ...status, term: 3n };
        expect(leadership.isAssured()).to.equal(false);
    });
});
