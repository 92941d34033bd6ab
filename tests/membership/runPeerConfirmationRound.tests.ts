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

describe("runPeerConfirmationRound", () => {
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
        const result = await runPeerConfirmationRound({
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
        expect(result.kind).to.equal(expected);
    }

    it("is confirmed by a majority", () => doTest([confirming, confirming, undefined], "confirmed"));
    it("isn't confirmed by half of the set", () =>
        doTest([confirming, confirming, undefined, undefined], "noMajority"));
    it("doesn't count sidecars that have restarted", () => doTest([confirming, uncounted, uncounted], "noMajority"));
    it("isn't confirmed by an empty set", () => doTest([confirming], "noMajority", 0));
    it("relies on sidecars outside the set that have a lease", () => doTest([leaseHolding], "sidecarLease", 0));
    it("doesn't count another process at a sidecar's address", () =>
        doTest([confirming, { ...confirming, instanceId: "other" }, undefined], "noMajority"));
    it("relies on sidecars that have a lease", () =>
        doTest([leaseHolding, leaseHolding, leaseHolding], "sidecarLease"));
    it("reports a newer revision", () => doTest(Array(3).fill({ ...confirming, configurationRevision: 4n }), "newer"));
    it("reports a newer sidecar set", () => doTest(Array(3).fill({ ...confirming, companionSetNumber: 2n }), "newer"));
});
