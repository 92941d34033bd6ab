import { expect } from "chai";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { parsePromptOutline } from "../../platform/wire";
import { createEnginePlacement, createLoadTracker } from "../../src/forwarding";
import { getCacheAddresses } from "../../src/forwarding/getCacheAddresses";
import { createNodeRanking } from "../../src/routing";
import { createRandomSource } from "../../src/runtime";
import { createFleetLoads } from "../../src/serverLoads";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("prompts of many parts", () => {
    /** The limit on headers of the sites' routing documents, in bytes. */
    const headerBytes = 16_384;
    /** A quarter of the heap of an entry process. */
    const maximumGrowthBytes = 30 * 1_048_576;
    /** The prompts that an entry process of the sites receives within the time for which prefixes are tracked. */
    const promptCount = 150;

    const instances = Array.from(
        { length: 8 },
        (...[, index]) =>
            createTestInstance({ instanceId: `engine-${index}`, weights: [{ model: "large", weightsVersion: 1 }] }),
    );

    /** Creates the header of a prompt with as many parts as fit; half of them are shared by every eighth prompt. */
    function createHeader(promptNumber: number, idDigits: number): string {
        const partCount = Math.floor(headerBytes / (idDigits + ":16,".length));
        return Array.from({ length: partCount }, (...[, index]) => {
            const owner = index < partCount / 2 ? promptNumber % 8 : promptNumber;
            return `${((owner + 1) * 4_096 + index).toString(16).padStart(idDigits, "0").slice(-idDigits)}:16`;
        }).join(",");
    }

    function createTrial() {
        const clock = createManualClock();
        const facts = createTestFactStore(clock);
        const loads = createLoadTracker(clock, () => false, createFleetLoads(facts, clock));
        const ranking = createNodeRanking();
        const placement = createEnginePlacement(loads, ranking, clock, 10_000, createRandomSource(1));
        return { place };

        function place(promptNumber: number, idDigits: number): void {
            const prompt = parsePromptOutline("large", "19200,64", createHeader(promptNumber, idDigits))!;
            const chosen = placement.choose(prompt, "", instances, [], 200_000)!;
            void placement.getPrefillInFlight(prompt, "", chosen);
            placement.getExpectedPrefillTokens(prompt, "", chosen, instances);
            getCacheAddresses(prompt, "salt", ["10.9.0.1:80"], {
                sources: placement.getPrefixSources(prompt, "", chosen, instances),
                ranking,
                kvCacheStores: { isReachable: () => true, hasPart: () => true },
            });
            placement.recordSent(`request-${promptNumber}`, prompt, "", chosen);
            placement.recordPrefillEnd(`request-${promptNumber}`);
        }
    }

    function getHeapBytes(): number {
        setFlagsFromString("--expose-gc");
        (runInNewContext("gc") as () => void)();
        return process.memoryUsage().heapUsed;
    }

    function doTest(idDigits: number) {
        return () => {
            const formerBytes = getHeapBytes();
            const trial = createTrial();
            for (let promptNumber = 0; promptNumber < promptCount; promptNumber++) {
                trial.place(promptNumber, idDigits);
            }
            expect(getHeapBytes() - formerBytes).to.be.below(maximumGrowthBytes);
            trial.place(0, idDigits);
        };
    }

    // Review, case 1: the keys of all prefixes exhausted the heap of entry processes.
    it("do not exhaust the heap with ids of one digit", doTest(1));
    it("do not exhaust the heap with ids of eight digits", doTest(8));
    it("do not exhaust the heap with ids of thirty-two digits", doTest(32));

    it("do not keep whole headers in memory with the ids that are tracked", () => {
        const formerBytes = getHeapBytes();
        const trackedIds = Array.from(
            { length: 8_192 },
            (...[, promptNumber]) =>
                parsePromptOutline("large", "19200,64", createHeader(promptNumber, 32))!.parts.at(-1)!.id,
        );
        expect(getHeapBytes() - formerBytes).to.be.below(maximumGrowthBytes);
        expect(trackedIds).to.have.length(8_192);
    });
});
