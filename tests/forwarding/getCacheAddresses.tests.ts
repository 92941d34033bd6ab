import { expect } from "chai";
import { createPromptDescriptor, PrefixSources, PromptDescriptor } from "../../src/forwarding";
import { getCacheAddresses } from "../../src/forwarding/getCacheAddresses";
import { createNodeRanking } from "../../src/routing";
import { createTestInstance } from "../feed/createTestFeed";

describe("getCacheTerms", () => {
    const stores = ["10.9.0.1:80", "10.9.0.2:80", "10.9.0.3:80"];
    const ranking = createNodeRanking();
    const likely = createTestInstance({ instanceId: "likely", address: "10.0.0.1:80" });
    const recent = createTestInstance({ instanceId: "recent", address: "10.0.0.2:80" });
    const former = createTestInstance({ instanceId: "former", address: "10.0.0.3:80" });

    function createPrompt(prefix: number, ownTokens: number): PromptDescriptor {
        const parts = [{ id: "a", tokens: 500 }, { id: `b${prefix}`, tokens: 4_000 }];
        return createPromptDescriptor({
            model: "large",
            parts: [...parts, { id: "own", tokens: ownTokens }],
            promptTokens: 4_500 + ownTokens,
            maximumOutputTokens: 80,
        });
    }

    function getKey(prefix: number): string {
        return createPrompt(prefix, 0).prefixes[0]!.digest;
    }

    function createSources(
        changes: Partial<PrefixSources["prefixes"][number]>,
        isLikelyHolderPrimary = false,
    ): PrefixSources {
        const nothing = { recent: undefined, former: undefined };
        return {
            prefixes: [
                { ...nothing, partCount: 2, ...changes },
                { ...nothing, partCount: 1 },
            ],
            likelyHolder: likely,
            isLikelyHolderPrimary,
        };
    }

    interface AddressOptions {
        held?: readonly string[];
        unreachable?: readonly string[];
        ownTokens?: number;
        sources?: PrefixSources;
    }

    function getAddresses({ held = [], unreachable = [], ownTokens = 900, sources }: AddressOptions, prefix = 0) {
        return getCacheAddresses(createPrompt(prefix, ownTokens), "salt", stores, {
            sources: sources ?? createSources({}),
            ranking,
            kvCacheStores: {
                isReachable: address => !unreachable.includes(address),
                hasPart: (address, salt, partId) => salt === "salt" && held.includes(`${address} ${partId}`),
            },
        });
    }

    const [store, otherStore] = ranking.getHighest(getKey(0), stores, address => address, 3) as [string, string];
    const everything = [`${store} a`, `${store} b0`];

    describe("the store of a prefix", () => {
        it("is the same for all requests that share the prefix, and differs between prefixes", () => {
            const saves = Array.from({ length: 30 }, (...[, index]) => getAddresses({}, index).saveAddress);
            expect(new Set(saves)).to.deep.equal(new Set(stores));
            expect(getAddresses({ ownTokens: 1 }).saveAddress).to.equal(getAddresses({ ownTokens: 2 }).saveAddress);
        });
        it("is the next one in the ranking while the first does not respond", () =>
            expect(getAddresses({ unreachable: [store] }).saveAddress).to.equal(otherStore));
    });

    describe("saveAddress", () => {
        function doTest(options: AddressOptions, expected: string | undefined) {
            return () => expect(getAddresses(options).saveAddress).to.equal(expected);
        }

        it("names the store that lacks a shared part", doTest({ held: [`${store} a`] }, store));
        it("names none where the store lacks no shared part", doTest({ held: everything }, undefined));
        it(
            "names none for a request whose own part is larger than the missing parts",
            doTest({ ownTokens: 4_501 }, undefined),
        );
        it("names none where no store responds", doTest({ unreachable: stores }, undefined));
    });

    describe("fetchAddress", () => {
        function doTest(options: AddressOptions, expected: string | undefined) {
            return () => expect(getAddresses(options).fetchAddress).to.equal(expected);
        }

        it(
            "names an engine with a recent prefill of the prefix first",
            doTest({
                held: everything,
                sources: createSources({ recent, former }),
            }, recent.address),
        );
        it(
            "prefers a store that holds the prefix to an engine that may have evicted it",
            doTest({
                held: everything,
                sources: createSources({ former }),
            }, store),
        );
        it("finds the prefix in any store", doTest({ held: [`${otherStore} a`, `${otherStore} b0`] }, otherStore));
        it(
            "names an engine with a prefill of some seconds ago",
            doTest({ sources: createSources({ former }) }, former.address),
        );
        it(
            "prefers the primary owner of the longest prefix to the holder of a shorter one",
            doTest({
                held: [`${store} a`],
                sources: createSources({}, true),
            }, likely.address),
        );
        it(
            "prefers the holder of a shorter prefix to an engine that is not the primary owner",
            doTest({
                held: [`${store} a`],
            }, store),
        );
        it("names the likely holder where no holder is known", doTest({}, likely.address));
    });
});
