import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    createDirectory,
    createSidecarSetView,
    PeerConfirmationResult,
    runPeerConfirmationRound,
} from "../../src/membership";
import { CompanionSetSchema, VouchResponse, VouchResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestRecord } from "./createTestRecord";
import { createVirtualTime } from "./createVirtualTime";

describe("runVouchRound", () => {
    const confirming = { configurationRevision: 3n, counts: true, promiseMilliseconds: 5_000 };
    const uncounted = { ...confirming, counts: false };
    const leaseHolding = { ...confirming, leaseFresh: true, promiseMilliseconds: 0 };

    async function doTest(
        responses: readonly (Partial<Omit<VouchResponse, "$typeName" | "$unknown">> | undefined)[],
        expected: PeerConfirmationResult["kind"],
        setSize = responses.length,
    ): Promise<void> {
        const directory = createDirectory({ clock: createVirtualTime().createClock() });
        const sidecarSet = createSidecarSetView();
        const instanceIds = responses.map((unused, index) => unused === undefined ? `down${index}` : `c${index}`);
        sidecarSet.apply(create(CompanionSetSchema, { number: 1n, instanceIds: instanceIds.slice(0, setSize) }));
        instanceIds.forEach(instanceId => directory.mergeRecord(createTestRecord(instanceId, { address: instanceId })));
        const answer = await runPeerConfirmationRound({
            revision: 3n,
            sidecarSet,
            directory,
            peers: {
                requestConfirmation: async address => {
                    const values = responses[instanceIds.indexOf(address)];
                    return values === undefined
                        ? undefined
                        : create(VouchResponseSchema, { instanceId: address, companionSetNumber: 1n, ...values });
                },
                fetchState: async () => undefined,
            },
            random: createRandomSource(1),
        });
        expect(answer.kind).to.equal(expected);
    }

    it("is vouched for by a majority", () => doTest([confirming, confirming, undefined], "vouched"));
    it("is not by half", () => doTest([confirming, confirming, undefined, undefined], "noMajority"));
    it("is not by those that have restarted", () => doTest([confirming, uncounted, uncounted], "noMajority"));
    it("is not by an empty set", () => doTest([confirming], "noMajority", 0));
    it("leaves it to sidecars outside the set that have a lease", () => doTest([leaseHolding], "sidecarLease", 0));
    it("is not by another process at the address", () =>
        doTest([confirming, { ...confirming, instanceId: "other" }, undefined], "noMajority"));
    it("leaves it to sidecars that have a lease", () =>
        doTest([leaseHolding, leaseHolding, leaseHolding], "sidecarLease"));
    it("finds a newer revision", () => doTest(Array(3).fill({ ...confirming, configurationRevision: 4n }), "newer"));
    it("finds a newer set of sidecars", () =>
        doTest(Array(3).fill({ ...confirming, companionSetNumber: 2n }), "newer"));
});
