import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { ChangeScope, createRegionImportState, getChangeScope } from "../../../src/control/regions";
import { ConfigurationOperationSchema } from "../../../src/protocol";

describe("getChangeScope", () => {
    const homes: Readonly<Record<string, string>> = { regie: "brittany", depot: "brittany", corrib: "galway" };

    function doTest(levels: readonly string[], expected: ChangeScope, removeLevel = false): void {
        const operations = levels.map(level => create(ConfigurationOperationSchema, { level, removeLevel }));
        expect(getChangeScope(operations, workspace => homes[workspace])).to.deep.equal(expected);
    }

    it("is a region for workspaces of one home region", () =>
        doTest(["/regie/counter", "/depot"], { kind: "region", region: "brittany" }));
    it("is spanning for workspaces of two home regions", () => doTest(["/regie", "/corrib"], { kind: "spanning" }));
    it("is spanning for the root", () => doTest(["/"], { kind: "spanning" }));
    it("is spanning for a new workspace", () => doTest(["/other"], { kind: "spanning" }));
    it("is spanning for the removal of a workspace", () => doTest(["/regie"], { kind: "spanning" }, true));
    it("is a region for the removal of a team", () =>
        doTest(["/regie/counter"], { kind: "region", region: "brittany" }, true));
    it("is spanning without operations", () => doTest([], { kind: "spanning" }));
});

describe("createRegionImportState", () => {
    it("applies no older change and leaves no gap, in whatever order imports arrive", () => {
        const deliveries = fc.array(
            fc.record({
                region: fc.constantFrom("brittany", "galway"),
                homeRevision: fc.bigInt({ min: 1n, max: 8n }),
                isComplete: fc.boolean(),
            }),
            { maxLength: 40 },
        );
        fc.assert(
            fc.property(deliveries, imports => {
                const state = createRegionImportState();
                for (const { region, homeRevision, isComplete } of imports) {
                    const other = region === "galway" ? "brittany" : "galway";
                    const before = state.getHomeRevision(region);
                    const otherBefore = state.getHomeRevision(other);
                    const outcome = state.addImport({ region, homeRevision, isComplete, operations: [] });
                    const isNext = homeRevision === before + 1n;
                    const isApplied = homeRevision > before && (isComplete || isNext);
                    expect(outcome.kind === "applied").to.equal(isApplied);
                    expect(state.getHomeRevision(region)).to.equal(isApplied ? homeRevision : before);
                    expect(state.getHomeRevision(other)).to.equal(otherBefore);
                }
            }),
            { seed: 5, numRuns: 300 },
        );
    });
});
