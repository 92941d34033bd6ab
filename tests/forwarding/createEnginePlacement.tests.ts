import { expect } from "chai";
import {
    createEnginePlacement,
    createLoadTracker,
    createRendezvousRanking,
    PromptDescriptor,
} from "../../src/forwarding";
import { FleetInstance } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("createEnginePlacement", () => {
    function createEngines(versions: readonly number[]): FleetInstance[] {
        return versions.map((weightsVersion, place) =>
            createTestInstance({ instanceId: `engine-${place}`, weights: [{ model: "large", weightsVersion }] })
        );
    }

    function createPrompt(prefix: number, ownPart = 0): PromptDescriptor {
        const parts = [{ id: `a${prefix % 3}`, tokens: 500 }, { id: `b${prefix}`, tokens: 4_900 }];
        return {
            model: "large",
            parts: [...parts, { id: `c${ownPart}`, tokens: 1_000 }],
            promptTokens: 6_400,
            maximumOutputTokens: 80,
        };
    }

    function createTrial(isUnresponsive: (instanceId: string) => boolean = () => false) {
        const clock = createManualClock();
        const loads = createLoadTracker(clock, isUnresponsive);
        return { clock, loads, placement: createEnginePlacement(loads, createRendezvousRanking(), clock, 10_000) };
    }

    const engines = createEngines([1, 1, 1, 1, 1, 1, 1, 1]);

    it("is the same at every entry", () => {
        const first = createTrial().placement;
        const second = createTrial().placement;
        for (let beginning = 0; beginning < 40; beginning++) {
            const prompt = createPrompt(beginning);
            expect(first.choose(prompt, "", engines, [])?.instanceId)
                .to.equal(second.choose(prompt, "", [...engines].reverse(), [])?.instanceId);
        }
    });

    it("spreads beginnings over the engines", () => {
        const { placement } = createTrial();
        const chosen = Array.from(
            { length: 200 },
            (...[, place]) => placement.choose(createPrompt(place), "", engines, [])?.instanceId,
        );
        expect(new Set(chosen).size).to.equal(engines.length);
    });

    it("keeps an isolated workspace's beginnings apart from the others'", () => {
        const { placement } = createTrial();
        const [first, second] = ["", "alpha"].map(scope =>
            Array.from(
                { length: 30 },
                (...[, place]) => placement.choose(createPrompt(place), scope, engines, [])?.instanceId,
            )
        );
        expect(first).to.not.deep.equal(second);
    });

    it("leaves a beginning's engine once its queue outweighs reading the beginning again", () => {
        const { placement, loads } = createTrial();
        const home = placement.choose(createPrompt(1), "", engines, [])!;
        loads.recordReport(home.instanceId, { running: 10, waiting: 0, slots: 64 });
        expect(placement.choose(createPrompt(1), "", engines, [])).to.equal(home);
        loads.recordReport(home.instanceId, { running: 64, waiting: 20, slots: 64 });
        expect(placement.choose(createPrompt(1), "", engines, [])).to.not.equal(home);
    });

    it("goes round engines that load or are dead", () => {
        const dead = new Set<string>();
        const { placement } = createTrial(instanceId => dead.has(instanceId));
        const home = placement.choose(createPrompt(1), "", engines, [])!;
        dead.add(home.instanceId);
        const next = placement.choose(createPrompt(1), "", engines, [])!;
        expect(next).to.not.equal(home);
        const loading = engines.map(engine =>
            engine === next ? createTestInstance({ ...engine, isLoading: true, $typeName: undefined }) : engine
        );
        expect([home.instanceId, next.instanceId])
            .to.not.include(placement.choose(createPrompt(1), "", loading, [])?.instanceId);
    });

    it("turns to newer weights the longer they are named", () => {
        const { placement } = createTrial();
        const mixed = createEngines([1, 1, 1, 1, 1, 1, 2, 2]);
        const countNew = (ageMilliseconds: number) =>
            Array.from(
                { length: 60 },
                (...[, place]) =>
                    placement.choose(createPrompt(place), "", mixed, [{ weightsVersion: 2, ageMilliseconds }])!,
            )
                .filter(engine => engine.weights[0]!.weightsVersion === 2).length;
        expect(countNew(9_000)).to.equal(60);
        expect(countNew(0)).to.be.below(60);
    });

    it("leaves weights before they may no longer answer, however loaded the others are", () => {
        const { placement, loads } = createTrial();
        const mixed = createEngines([2, 3]);
        loads.recordReport("engine-1", { running: 64, waiting: 20, slots: 64 });
        const wanted = (ageMilliseconds: number) => [
            { weightsVersion: 3, ageMilliseconds },
            { weightsVersion: 4, ageMilliseconds: 500 },
        ];
        expect(placement.choose(createPrompt(1), "", mixed, wanted(4_500))).to.equal(mixed[0]);
        expect(placement.choose(createPrompt(1), "", mixed, wanted(8_600))).to.equal(mixed[1]);
    });

    describe("getSources", () => {
        const [first, second] = engines as [FleetInstance, FleetInstance];

        it("names the engine to which the beginning went before", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "", first);
            const [longest] = placement.getPrefixSources(createPrompt(1), "", second, engines).prefixes;
            expect([longest?.recent, longest?.former]).to.deep.equal([first, first]);
        });
        it("names an engine that holds a shorter beginning where none holds the longest", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "", first);
            const { prefixes: beginnings } = placement.getPrefixSources(createPrompt(4), "", second, engines);
            expect(beginnings.map(({ parts, recent }) => [parts.length, recent]))
                .to.deep.equal([[2, undefined], [1, first]]);
        });
        it("tells whether the likely holder is the engine that all entries prefer", () => {
            const { placement } = createTrial();
            const home = placement.choose(createPrompt(1), "", engines, [])!;
            const other = engines.find(engine => engine !== home)!;
            const getLikely = (chosen: FleetInstance) => {
                const { likelyHolder: likely, isLikelyHolderPrimary: isLikelyHome } = placement.getPrefixSources(
                    createPrompt(1),
                    "",
                    chosen,
                    engines,
                );
                return [likely === home, isLikelyHome];
            };
            expect(getLikely(other)).to.deep.equal([true, true]);
            expect(getLikely(home)).to.deep.equal([false, false]);
        });
        it("never names an engine on other weights", () => {
            const { placement } = createTrial();
            const mixed = createEngines([1, 2]);
            placement.recordSent("request-1", createPrompt(1), "", mixed[0]!);
            const { prefixes: beginnings, likelyHolder: likely } = placement.getPrefixSources(
                createPrompt(1),
                "",
                mixed[1]!,
                mixed,
            );
            expect([likely, ...beginnings.map(beginning => beginning.former)])
                .to.deep.equal([undefined, undefined, undefined]);
        });
        it("never names what an isolated workspace read", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "alpha", first);
            const { prefixes: beginnings } = placement.getPrefixSources(createPrompt(1), "", second, engines);
            expect(beginnings.map(beginning => beginning.former)).to.deep.equal([undefined, undefined]);
        });
        it("doubts what was read some seconds ago, and forgets it after a time", async () => {
            const { placement, clock } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "", first);
            await clock.advance(2_000);
            const [doubted] = placement.getPrefixSources(createPrompt(1), "", second, engines).prefixes;
            expect([doubted?.recent, doubted?.former]).to.deep.equal([undefined, first]);
            await clock.advance(8_000);
            const [forgotten] = placement.getPrefixSources(createPrompt(1), "", second, engines).prefixes;
            expect(forgotten?.former).to.equal(undefined);
        });
    });

    describe("getReading", () => {
        const [first, second] = engines as [FleetInstance, FleetInstance];

        it("names a read of the same or of a shorter beginning, at whatever engine", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "", first);
            expect(placement.getPrefillInFlight(createPrompt(1), "", second)).to.not.equal(undefined);
            expect(placement.getPrefillInFlight(createPrompt(4), "", first)).to.not.equal(undefined);
            expect(placement.getPrefillInFlight(createPrompt(2), "", first)).to.equal(undefined);
        });
        it("names none once it has ended, or where the engine holds the beginning already", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "", first);
            placement.recordPrefillEnd("request-1");
            expect(placement.getPrefillInFlight(createPrompt(1), "", second)).to.equal(undefined);
            placement.recordSent("request-2", createPrompt(1), "", first);
            expect(placement.getPrefillInFlight(createPrompt(1), "", first)).to.equal(undefined);
        });
        it("keeps an isolated workspace's reads apart from the others'", () => {
            const { placement } = createTrial();
            placement.recordSent("request-1", createPrompt(1), "alpha", first);
            expect(placement.getPrefillInFlight(createPrompt(1), "", first)).to.equal(undefined);
        });
    });

    describe("under a rollout of weights", () => {
        /** Plays five entries' requests for 80 beginnings while engines take new weights one after the other. */
        function play() {
            const random = createRandomSource(9);
            const entries = Array.from({ length: 5 }, () => createTrial().placement);
            const held = new Set<string>();
            let reads = 0;
            let requests = 0;
            for (let step = 0; step <= 8; step++) {
                const fleet = createEngines(engines.map((...[, place]) => place < step ? 2 : 1));
                for (let count = 0; count < 300; count++) {
                    const prompt = createPrompt(random.getInteger(80));
                    const entry = entries[random.getInteger(entries.length)]!;
                    const wanted = [{ weightsVersion: 2, ageMilliseconds: step * 600 }];
                    const chosen = entry.choose(prompt, "", fleet, wanted)!;
                    const version = chosen.weights[0]!.weightsVersion;
                    const { prefixes: [longest], likelyHolder: likely } = entry.getPrefixSources(
                        prompt,
                        "",
                        chosen,
                        fleet,
                    );
                    entry.recordSent(`request-${requests}`, prompt, "", chosen);
                    const getName = (engine: FleetInstance) => `${engine.instanceId} ${version} ${prompt.parts[1]!.id}`;
                    const sources = [chosen, longest?.former, likely].filter(engine => engine !== undefined);
                    reads += sources.some(engine => held.has(getName(engine))) ? 0 : 1;
                    requests += 1;
                    held.add(getName(chosen));
                }
            }
            return { reads, requests };
        }

        it("reads most beginnings once for each version", () => {
            const { reads, requests } = play();
            // Each of 80 beginnings must be read once under each of two versions; half as many again may be.
            expect(reads).to.be.at.most(1.5 * 160);
            expect(requests).to.equal(2_700);
        });
    });
});
