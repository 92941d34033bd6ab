import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createMemberLease } from "../../../src/control/distribution/createMemberLease";
import { readStopwatch } from "../../../src/membership";
import { ShareStateResponseSchema } from "../../../src/protocol";
import { createVirtualTime } from "../../membership/createVirtualTime";

describe("createMemberLease", () => {
    function createLease(revision: bigint, isAssured = false) {
        const time = createVirtualTime();
        const clock = time.createClock();
        const leadership = {
            isAssured: () => isAssured,
            getTerm: () => 7n,
            getAgeMilliseconds: () => 0,
            addListener: () => () => {},
            stop: async () => {},
        };
        const lease = createMemberLease(clock, leadership, () => revision);
        return { time, lease, answer: applyResponse };

        function applyResponse(term: bigint, configurationRevision: bigint): void {
            const response = create(ShareStateResponseSchema, {
                leaseMilliseconds: 10_000,
                term,
                configurationRevision,
            });
            lease.applyResponse(response, readStopwatch(clock));
        }
    }

    it("gives none before the leader's answer", () => {
        expect(createLease(1n).lease.getRemainingMilliseconds()).to.equal(0);
    });

    it("gives what is left of the leader's answer", async () => {
        const { time, lease, answer } = createLease(1n);
        answer(1n, 1n);
        await time.advance(4_000);
        expect(lease.getRemainingMilliseconds()).to.equal(6_000);
    });

    it("gives none while the member lags behind the leader", () => {
        const { lease, answer } = createLease(1n);
        answer(1n, 2n);
        expect(lease.getRemainingMilliseconds()).to.equal(0);
    });

    it("ignores the late answer of a former leader", async () => {
        const { time, lease, answer } = createLease(1n);
        answer(2n, 1n);
        await time.advance(9_000);
        answer(1n, 1n);
        expect(lease.getRemainingMilliseconds()).to.equal(1_000);
    });

    it("gives the whole time as the leader, and none once it is ended", () => {
        const { lease } = createLease(1n, true);
        expect(lease.getRemainingMilliseconds()).to.equal(10_000);
        lease.end();
        expect(lease.getRemainingMilliseconds()).to.equal(0);
    });
});
