import { expect } from "chai";
import fc from "fast-check";
import { DocumentWorkspace } from "../../src/documents";
import { createCacheScopes } from "../../src/documents/createCacheScopes";

describe("createCacheScopes", () => {
    function createWorkspaces(
        names: readonly string[],
        isolatedNames: readonly string[],
    ): readonly DocumentWorkspace[] {
        return names.map(name => ({
            name,
            apiKeys: [],
            priority: 1,
            isIsolated: isolatedNames.includes(name),
            quota: undefined,
        }));
    }

    function doTest(
        left: { isolated: readonly string[]; name: string | undefined; },
        right: { isolated: readonly string[]; name: string | undefined; },
        isEqual: boolean,
    ) {
        return () => {
            const [first, second] = [left, right].map(({ isolated, name }) =>
                createCacheScopes(createWorkspaces(["alpha", "beta", "gamma"], isolated))(name)
            );
            expect(first === second).to.equal(isEqual);
        };
    }

    it(
        "is the same for open workspaces",
        doTest({ isolated: [], name: "alpha" }, { isolated: [], name: "beta" }, true),
    );
    it(
        "is the same for open workspaces and requests without a key",
        doTest({ isolated: ["gamma"], name: "alpha" }, { isolated: ["gamma"], name: undefined }, true),
    );
    it(
        "does not depend on the order of the isolated workspaces",
        doTest({ isolated: ["alpha", "beta"], name: "gamma" }, { isolated: ["beta", "alpha"], name: "gamma" }, true),
    );
    it(
        "changes for open workspaces when another one becomes isolated",
        doTest({ isolated: [], name: "beta" }, { isolated: ["alpha"], name: "beta" }, false),
    );
    it(
        "stays the same for an isolated workspace when another one becomes isolated",
        doTest({ isolated: ["alpha"], name: "alpha" }, { isolated: ["alpha", "beta"], name: "alpha" }, true),
    );
    it(
        "is a workspace's own where the document no longer names it",
        doTest({ isolated: [], name: "removed" }, { isolated: [], name: "alpha" }, false),
    );
    it("is no other one's for a workspace with an odd name", () => {
        const sharedScope = createCacheScopes([])(undefined);
        const getScope = createCacheScopes(createWorkspaces([sharedScope, ""], [sharedScope, ""]));
        expect(new Set([getScope(undefined), getScope(""), getScope(sharedScope), sharedScope]).size).to.equal(4);
    });
    it("can be sent in a header whatever the names", () =>
        expect(
            createCacheScopes(createWorkspaces(["R\u00e9gie \u20ac\n"], ["R\u00e9gie \u20ac\n"]))(
                "R\u00e9gie \u20ac\n",
            ),
        )
            .to.match(/^[ -~]+$/));

    // Review, case 4: parts that were cached before a workspace was isolated were found by others.
    it("holds no part across the boundary of an isolated workspace, after any series of documents", () => {
        const names = ["alpha", "beta", "gamma"];
        const step = fc.record({
            named: fc.subarray(names),
            isolated: fc.subarray(names),
            requests: fc.array(fc.constantFrom(...names, undefined), { maxLength: 4 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 12 }), steps => {
                const makersByScope = new Map<string, Set<string | undefined>>();
                for (const { named, isolated, requests } of steps) {
                    const getScope = createCacheScopes(createWorkspaces(named, isolated));
                    const isIsolated = (name?: string) =>
                        name !== undefined && named.includes(name) && isolated.includes(name);
                    for (const workspaceName of requests) {
                        const scope = getScope(workspaceName);
                        const makers = makersByScope.get(scope) ?? new Set();
                        const others = [...makers].filter(maker => maker !== workspaceName);
                        expect(others.length > 0 && [workspaceName, ...others].some(isIsolated)).to.equal(false);
                        makersByScope.set(scope, makers.add(workspaceName));
                    }
                }
            }),
            { seed: 1, numRuns: 1_000 },
        );
    });
});
