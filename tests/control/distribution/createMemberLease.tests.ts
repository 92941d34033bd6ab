import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createMemberLease } from "../../../src/control/distribution/createMemberLease";
import { readClocks } from "../../../src/membership";
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
        return { time, lease, applyResponse };

        function applyResponse(term: bigint, configurationRevision: bigint): void {
            const response = create(ShareStateResponseSchema, {
                leaseMilliseconds: 10_000,
                term,
                configurationRevision,
            });
            lease.applyResponse(response, readClocks(clock));
        }
    }

    it("grants none before the leader's first response", () => {
        expect(createLease(1n).lease.getRemainingMilliseconds()).to.equal(0);
    });

    it("grants the remaining time of the leader's lease", async () => {
        const { time, lease, applyResponse } = createLease(1n);
        applyResponse(1n, 1n);
        await time.advance(4_000);
        expect(lease.getRemainingMilliseconds()).to.equal(6_000);
    });

    it("grants none while the member lags behind the leader", () => {
        const { lease, applyResponse } = createLease(1n);
        applyResponse(1n, 2n);
        expect(lease.getRemainingMilliseconds()).to.equal(0);
    });

    it("ignores a late response of a former leader", async () => {
        const { time, lease, applyResponse } = createLease(1n);
        applyResponse(2n, 1n);
        await time.advance(9_000);
        applyResponse(1n, 1n);
        expect(lease.getRemainingMilliseconds()).to.equal(1_000);
    });

    it("grants the full time as the leader, and none once it has ended", () => {
        const { lease } = createLease(1n, true);
        expect(lease.getRemainingMilliseconds()).to.equal(10_000);
        lease.end();
        expect(lease.getRemainingMilliseconds()).to.equal(0);
    });
});
