import { expect } from "chai";
import { createRendezvousRanking, PrefixSources, PromptDescriptor } from "../../src/forwarding";
import { getCacheAddresses } from "../../src/forwarding/getCacheAddresses";
import { createTestInstance } from "../feed/createTestFeed";

describe("getCacheTerms", () => {
    const stores = ["10.9.0.1:80", "10.9.0.2:80", "10.9.0.3:80"];
    const ranking = createRendezvousRanking();
    const likely = createTestInstance({ instanceId: "likely", address: "10.0.0.1:80" });
    const recent = createTestInstance({ instanceId: "recent", address: "10.0.0.2:80" });
    const former = createTestInstance({ instanceId: "former", address: "10.0.0.3:80" });

    function createPrompt(beginning: number, ownTokens: number): PromptDescriptor {
        const parts = [{ id: "a", tokens: 500 }, { id: `b${beginning}`, tokens: 4_000 }];
        return {
            model: "large",
            parts: [...parts, { id: "own", tokens: ownTokens }],
            promptTokens: 4_500 + ownTokens,
            maximumOutputTokens: 80,
        };
    }

    function createSources(changes: Partial<PrefixSources["prefixes"][number]>, isLikelyHome = false): PrefixSources {
        const { parts } = createPrompt(0, 0);
        const nothing = { recent: undefined, former: undefined };
        return {
            prefixes: [
                { ...nothing, parts: parts.slice(0, 2), ...changes },
                { ...nothing, parts: parts.slice(0, 1) },
            ],
            likelyHolder: likely,
            isLikelyHolderPrimary: isLikelyHome,
        };
    }

    interface Trial {
        held?: readonly string[];
        dead?: readonly string[];
        ownTokens?: number;
        sources?: PrefixSources;
    }

    function getTerms({ held = [], dead = [], ownTokens = 900, sources }: Trial, beginning = 0) {
        return getCacheAddresses(createPrompt(beginning, ownTokens), "salt", stores, {
            sources: sources ?? createSources({}),
            ranking,
            kvCacheStores: {
                isReachable: address => !dead.includes(address),
                hasPart: (address, salt, partId) => salt === "salt" && held.includes(`${address} ${partId}`),
            },
        });
    }

    const [store, otherStore] = ranking.getHighest("a,b0", stores, address => address, 3) as [string, string];
    const everything = [`${store} a`, `${store} b0`];

    describe("the store of a beginning", () => {
        it("is one for all requests that share it, and others for other beginnings", () => {
            const saves = Array.from({ length: 30 }, (...[, place]) => getTerms({}, place).saveAddress);
            expect(new Set(saves)).to.deep.equal(new Set(stores));
            expect(getTerms({ ownTokens: 1 }).saveAddress).to.equal(getTerms({ ownTokens: 2 }).saveAddress);
        });
        it("is the next one while it does not answer", () =>
            expect(getTerms({ dead: [store] }).saveAddress).to.equal(otherStore));
    });

    describe("saveAddress", () => {
        function doTest(trial: Trial, expected: string | undefined) {
            return () => expect(getTerms(trial).saveAddress).to.equal(expected);
        }

        it("names the store that lacks a shared part", doTest({ held: [`${store} a`] }, store));
        it("names none where the store lacks nothing", doTest({ held: everything }, undefined));
        it("leaves the save to a request with a smaller part of its own", doTest({ ownTokens: 4_501 }, undefined));
        it("names none where no store answers", doTest({ dead: stores }, undefined));
    });

    describe("fetchAddress", () => {
        function doTest(trial: Trial, expected: string | undefined) {
            return () => expect(getTerms(trial).fetchAddress).to.equal(expected);
        }

        it(
            "names an engine that read the beginning a moment ago first",
            doTest({
                held: everything,
                sources: createSources({ recent, former }),
            }, recent.address),
        );
        it(
            "names a store that holds it before an engine that may have dropped it",
            doTest({
                held: everything,
                sources: createSources({ former }),
            }, store),
        );
        it("finds it in whatever store", doTest({ held: [`${otherStore} a`, `${otherStore} b0`] }, otherStore));
        it(
            "names an engine that read it some seconds ago",
            doTest({ sources: createSources({ former }) }, former.address),
        );
        it(
            "names the home of the whole beginning before the holder of a shorter one",
            doTest({
                held: [`${store} a`],
                sources: createSources({}, true),
            }, likely.address),
        );
        it(
            "names the holder of a shorter beginning before an engine that is no home",
            doTest({
                held: [`${store} a`],
            }, store),
        );
        it("guesses where nothing is known", doTest({}, likely.address));
    });
});
