import { expect } from "chai";
import { createPromptRenderer, createWorkload, getPromptTokens, WorkloadKind } from "../../../src/experiment/workloads";
import { createPrefixChain, renderPrompt } from "../../../src/routing";

const options = { seed: 7, load: 1, seconds: 200, engineCount: 8, prefillTokensPerSecond: 20_000 };

function countBy(names: readonly string[]): Map<string, number> {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return counts;
}

describe("createWorkload", () => {
    for (const kind of [WorkloadKind.Regie, WorkloadKind.Corrib]) {
        describe(kind, () => {
            const workload = createWorkload({ kind, ...options });
            const completions = workload.requests.flatMap(request => request.kind === "completion" ? [request] : []);

            it("creates equal requests for equal options, and different ones for another seed", () => {
                expect(createWorkload({ kind, ...options })).to.deep.equal(workload);
                expect(createWorkload({ kind, ...options, seed: 8 }).requests).to.not.deep.equal(workload.requests);
            });

            it("requests as many prompt tokens as the load implies", () => {
                const tokens = completions.reduce((total, request) => total + getPromptTokens(request.parts), 0);
                const expected = options.load * options.engineCount * options.prefillTokensPerSecond * options.seconds;
                expect(tokens / expected).to.be.within(0.85, 1.15);
            });

            it("creates arrival times in order and within its length", () => {
                const times = workload.requests.map(request => request.arrivalMilliseconds);
                expect(times).to.deep.equal(times.toSorted((first, second) => first - second));
                expect(times.at(-1)).to.be.below(options.seconds * 1_000);
            });

            it("has eight workspaces with unique keys, a few of them large", () => {
                const workspaces = countBy(completions.map(request => request.subscriber.workspace));
                expect(workspaces.size).to.equal(8);
                expect(Math.max(...workspaces.values())).to.be.above(completions.length / 4);
                expect(new Set(workload.subscribers.map(subscriber => subscriber.key)).size)
                    .to.equal(workload.subscribers.length);
            });

            it("shares most parts of its prompts, which together exceed one engine's cache", () => {
                const hashes = completions.flatMap(request => request.parts.slice(0, -1).map(part => part.id));
                expect(new Set(hashes).size).to.be.below(hashes.length / 4);
                const parts = new Map(
                    completions.flatMap(request => request.parts.map(part => [part.id, part.tokens])),
                );
                const tokens = [...parts.values()].reduce((total, length) => total + length, 0);
                expect(tokens / 4_096).to.be.above(500);
            });
        });
    }

    it("changes the most requested document at the popularity shift", () => {
        const requests =
            createWorkload({ kind: WorkloadKind.Corrib, ...options, popularityShiftSeconds: 100 }).requests;
        const getHottest = (from: number, to: number): string => {
            const ids = requests.flatMap(request => {
                const isWithin = request.arrivalMilliseconds >= from * 1_000
                    && request.arrivalMilliseconds < to * 1_000;
                return request.kind === "completion" && isWithin ? [request.parts[1]!.id] : [];
            });
            return [...countBy(ids)].sort((first, second) => second[1] - first[1])[0]![0];
        };
        expect(getHottest(0, 100)).to.not.equal(getHottest(100, 200));
    });

    it("adds the excess traffic of one subscriber", () => {
        const requests = createWorkload({ kind: WorkloadKind.Regie, ...options, excessFactor: 20 }).requests;
        const excess = requests.filter(request => request.kind === "completion" && request.isExcess);
        expect(new Set(excess.map(request => request.subscriber.path)).size).to.equal(1);
        expect(excess.length).to.be.above(requests.length / 10);
    });
});

describe("createPromptRenderer", () => {
    it("renders nested prompts of the requested length that share their first blocks", () => {
        const renderer = createPromptRenderer();
        const first = [{ id: "workspace", tokens: 8_192 }, { id: "document", tokens: 20_000 }, {
            id: "a",
            tokens: 100,
        }];
        const second = [{ id: "workspace", tokens: 8_192 }, { id: "document", tokens: 9_000 }, { id: "b", tokens: 50 }];
        const prompts = [first, second].map(parts => renderPrompt({ messages: renderer.getMessages(parts) }, true)!);
        expect(prompts[0]!.length).to.be.within(28_292, 28_330);
        const scope = { workspace: "regie", model: "large", version: "1" };
        const hashes = prompts.map(prompt => createPrefixChain(prompt, scope, 4_096).hashes);
        expect(hashes[1]!.slice(0, 4)).to.deep.equal(hashes[0]!.slice(0, 4));
    });
});
