import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createDirectory, createSidecarSetView, runVouchRound, VouchAnswer } from "../../src/membership";
import { CompanionSetSchema, VouchResponse, VouchResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestRecord } from "./createTestRecord";
import { createVirtualTime } from "./createVirtualTime";

describe("runVouchRound", () => {
    const vouching = { configurationRevision: 3n, counts: true, promiseMilliseconds: 5_000 };
    const uncounted = { ...vouching, counts: false };
    const fresh = { ...vouching, leaseFresh: true, promiseMilliseconds: 0 };

    async function doTest(
        answers: readonly (Partial<Omit<VouchResponse, "$typeName" | "$unknown">> | undefined)[],
        expected: VouchAnswer["kind"],
        setSize = answers.length,
    ): Promise<void> {
        const directory = createDirectory({ clock: createVirtualTime().createClock() });
        const sidecarSet = createSidecarSetView();
        const instanceIds = answers.map((unused, index) => unused === undefined ? `down${index}` : `c${index}`);
        sidecarSet.apply(create(CompanionSetSchema, { number: 1n, instanceIds: instanceIds.slice(0, setSize) }));
        instanceIds.forEach(instanceId => directory.mergeRecord(createTestRecord(instanceId, { address: instanceId })));
        const answer = await runVouchRound({
            revision: 3n,
            sidecarSet,
            directory,
            peers: {
                vouch: async address => {
                    const values = answers[instanceIds.indexOf(address)];
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

    it("is vouched for by a majority", () => doTest([vouching, vouching, undefined], "vouched"));
    it("is not by half", () => doTest([vouching, vouching, undefined, undefined], "noMajority"));
    it("is not by those that have restarted", () => doTest([vouching, uncounted, uncounted], "noMajority"));
    it("is not by an empty set", () => doTest([vouching], "noMajority", 0));
    it("leaves it to sidecars outside the set that have a lease", () => doTest([fresh], "sidecarLease", 0));
    it("is not by another process at the address", () =>
        doTest([vouching, { ...vouching, instanceId: "other" }, undefined], "noMajority"));
    it("leaves it to sidecars that have a lease", () => doTest([fresh, fresh, fresh], "sidecarLease"));
    it("finds a newer revision", () => doTest(Array(3).fill({ ...vouching, configurationRevision: 4n }), "newer"));
    it("finds a newer set of sidecars", () => doTest(Array(3).fill({ ...vouching, companionSetNumber: 2n }), "newer"));
});
