import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    Authority,
    createAuthority,
    createProcessLease,
    createSidecarSetView,
    isDispatchAllowed,
    PeerConfirmationResult,
    ProcessLease,
    readClocks,
    SidecarSetView,
} from "../../src/membership";
import { CompanionSetSchema, LeaseGrantSchema } from "../../src/protocol";
import { Clock } from "../../src/runtime";
import { createVirtualTime, VirtualTime } from "./createVirtualTime";

describe("createAuthority", () => {
    let time: VirtualTime;
    let clock: Clock;
    let lease: ProcessLease;
    let sidecarSet: SidecarSetView;
    let revision: bigint;
    let results: PeerConfirmationResult[];
    let roundCount: number;
    let authority: Authority;

    beforeEach(() => {
        time = createVirtualTime();
        clock = time.createClock();
        lease = createProcessLease(clock);
        sidecarSet = createSidecarSetView();
        revision = 1n;
        results = [];
        roundCount = 0;
        authority = createAuthority({
            clock,
            getRevision: () => revision,
            lease,
            sidecarSet,
            runConfirmationRound: async () => {
                roundCount++;
                return results.shift() ?? { kind: "noMajority" };
            },
            fetchNewerState: async () => {
                revision = 2n;
            },
        });
    });

    function grant(remainingMilliseconds: number, requiredRevision = 1n, requestedAt = readClocks(clock)): void {
        lease.addGrant(
            create(LeaseGrantSchema, { remainingMilliseconds, configurationRevision: requiredRevision }),
            requestedAt,
        );
    }

    async function check(): Promise<boolean> {
        let isAdmitted: boolean | undefined;
        void authority.checkAuthority().then(value => isAdmitted = value);
        while (isAdmitted === undefined) {
            await time.advance(20);
        }
        return isAdmitted;
    }

    describe("isLeaseFresh", () => {
        async function doTest(prepare: () => unknown, expected: boolean): Promise<void> {
            await prepare();
            expect(authority.isLeaseFresh()).to.equal(expected);
        }

        it("is false before the first grant", () => doTest(() => {}, false));
        it("is true under a granted lease", () => doTest(() => grant(10_000), true));
        it("is false once the lease has expired", () =>
            doTest(async () => {
                grant(10_000);
                await time.advance(10_000);
            }, false));
        it("counts the duration from when the lease was requested", () =>
            doTest(async () => {
                const requestedAt = readClocks(clock);
                await time.advance(6_000);
                grant(10_000, 1n, requestedAt);
                await time.advance(4_000);
            }, false));
        it("is false while the lease requires a newer revision", () => doTest(() => grant(10_000, 2n), false));
        it("is false after a newer revision was seen at another process", () =>
            doTest(() => {
                grant(10_000);
                authority.addSeenRevision(2n);
            }, false));
        it("keeps the lease that ends later when two grants arrive in the wrong order", () =>
            doTest(async () => {
                const first = readClocks(clock);
                await time.advance(3_000);
                grant(10_000);
                grant(10_000, 1n, first);
                await time.advance(9_000);
            }, true));
        it("expires while the machine is suspended, when only the wall clock advances", () => {
            const wallClock = { wall: 0 };
            const suspended = createProcessLease({ ...clock, getWallMilliseconds: () => wallClock.wall });
            suspended.addGrant(create(LeaseGrantSchema, { remainingMilliseconds: 10_000 }), {
                monotonicMilliseconds: 0,
                wallMilliseconds: 0,
            });
            wallClock.wall = 60_000;
            expect(suspended.getRemainingMilliseconds()).to.equal(0);
        });
    });

    describe("checkAuthority", () => {
        it("asks no sidecar while the lease is valid", async () => {
            grant(10_000);
            expect(await check()).to.equal(true);
            expect(roundCount).to.equal(0);
        });

        it("asks once for many requests while the confirmation is valid", async () => {
            results = [{ kind: "confirmed", validMilliseconds: 5_000 }];
            expect(await Promise.all([check(), check(), check()])).to.deep.equal([true, true, true]);
            expect(authority.hasOwnAuthority()).to.equal(true);
            expect(roundCount).to.equal(1);
        });

        it("asks again shortly before the confirmation expires", async () => {
            results = [{ kind: "confirmed", validMilliseconds: 5_000 }, {
                kind: "confirmed",
                validMilliseconds: 5_000,
            }];
            await check();
            await time.advance(4_000);
            expect(await check()).to.equal(true);
            expect(roundCount).to.equal(2);
        });

        it("discards the confirmation when a newer revision is seen", async () => {
            results = [{ kind: "confirmed", validMilliseconds: 5_000 }];
            await check();
            authority.addSeenRevision(2n);
            expect(authority.hasOwnAuthority()).to.equal(false);
        });

        it("discards the confirmation when a newer sidecar set arrives", async () => {
            results = [{ kind: "confirmed", validMilliseconds: 5_000 }];
            await check();
            sidecarSet.apply(create(CompanionSetSchema, { number: 1n }));
            expect(authority.hasOwnAuthority()).to.equal(false);
        });

        it("admits work under a sidecar's lease, without authority of its own", async () => {
            results = [{ kind: "sidecarLease" }];
            expect(await check()).to.equal(true);
            expect(authority.hasOwnAuthority()).to.equal(false);
        });

        it("refuses without a majority", async () => {
            expect(await check()).to.equal(false);
        });

        it("fetches newer state and asks again", async () => {
            results = [
                { kind: "newer", revision: 2n, sidecarSetNumber: 0n, instanceId: "c0" },
                { kind: "confirmed", validMilliseconds: 5_000 },
            ];
            expect(await check()).to.equal(true);
            expect(authority.getRevision()).to.equal(2n);
        });

        it("refuses while it can't catch up with a newer revision", async () => {
            grant(10_000);
            authority.addSeenRevision(3n);
            expect(await check()).to.equal(false);
        });
    });

    describe("isDispatchAllowed", () => {
        function doTest(
            senderRevision: bigint,
            hasSenderAuthority: boolean,
            hasLease: boolean,
            expected: boolean,
        ): void {
            if (hasLease) {
                grant(10_000);
            }
            expect(isDispatchAllowed(authority, senderRevision, hasSenderAuthority)).to.equal(expected);
        }

        it("accepts work of the same revision", () => doTest(1n, true, true, true));
        it("refuses work of an older revision", () => doTest(0n, true, true, false));
        it("accepts work of a newer revision from a sender with authority", () => doTest(2n, true, true, true));
        it("accepts work from a sender without authority under its own lease", () => doTest(1n, false, true, true));
        it("refuses when neither the sender nor the sidecar has authority", () => doTest(1n, false, false, false));
        it("refuses work of a newer revision from a sender without authority, despite its own lease", () =>
            doTest(2n, false, true, false));
    });
});
