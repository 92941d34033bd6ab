import { expect } from "chai";
import fc from "fast-check";
import { CounterName } from "../../src/metrics";
import { RefusalReason, RunState } from "../../src/protocol";
import { EngineMode, getFullText } from "./createEngineFake";
import { LinkMode } from "./createLinkFake";
import { createTestCluster, Delivery } from "./createTestCluster";

type Step =
    | { kind: "complete"; prompt: string; entry: number; timeout: number; }
    | {
        kind: "killSidecar" | "startSidecar" | "drainSidecar" | "crashEngine" | "changeVersion";
        sidecar: number;
    }
    | { kind: "setLink"; entry: number; mode: LinkMode; }
    | { kind: "setEngine"; sidecar: number; mode: EngineMode; };

const entryCount = 2;
const sidecarCount = 3;

describe("completions under faults", () => {
    const entry = fc.nat(entryCount - 1);
    const sidecar = fc.nat(sidecarCount - 1);
    const complete = fc.record<Extract<Step, { kind: "complete"; }>>({
        kind: fc.constant("complete"),
        prompt: fc.constantFrom("alpha", "beta", "gamma delta", "epsilon zeta eta"),
        entry,
        timeout: fc.constantFrom(40, 60_000, 60_000),
    });
    const fault: fc.Arbitrary<Step> = fc.oneof(
        fc.record({
            kind: fc.constantFrom(
                "killSidecar" as const,
                "startSidecar" as const,
                "drainSidecar" as const,
                "crashEngine" as const,
                "changeVersion" as const,
            ),
            sidecar,
        }),
        fc.record({
            kind: fc.constant("setLink" as const),
            entry,
            mode: fc.constantFrom<LinkMode>("ok", "partitioned", "lostCalls", "lateCalls", "brokenAnswers"),
        }),
        fc.record({
            kind: fc.constant("setEngine" as const),
            sidecar,
            mode: fc.constantFrom<EngineMode>("ok", "ok", "truncated", "refusing"),
        }),
    );
    const schedule = fc.array(
        fc.record({
            delay: fc.constantFrom(0, 0, 5, 20, 100, 1_000),
            step: fc.oneof({ arbitrary: complete, weight: 3 }, { arbitrary: fault, weight: 2 }),
        }),
        { minLength: 1, maxLength: 20 },
    );

    async function runSchedule(seed: number, steps: readonly { delay: number; step: Step; }[]) {
        const cluster = createTestCluster(seed, entryCount, sidecarCount, "engine");
        const { clock, sidecars, entries } = cluster;
        const pending: Promise<Delivery>[] = [];
        await clock.sleep(500);
        for (const { delay, step } of steps) {
            await clock.sleep(delay);
            take(step);
        }
        await clock.sleep(2_000);
        entries.forEach(healed => healed.link.setMode("ok"));
        sidecars.forEach(healed => {
            healed.start();
            healed.engine.setMode("ok");
        });
        const deliveries = await Promise.all(pending);
        await cluster.stop();
        return deliveries;

        function take(step: Step): void {
            switch (step.kind) {
                case "complete":
                    pending.push(entries[step.entry]!.complete(step.prompt, `request-${pending.length}`, step.timeout));
                    break;
                case "killSidecar":
                    sidecars[step.sidecar]!.kill();
                    break;
                case "startSidecar":
                    sidecars[step.sidecar]!.start();
                    break;
                case "drainSidecar":
                    void sidecars[step.sidecar]!.drain();
                    break;
                case "crashEngine":
                    sidecars[step.sidecar]!.engine.crash();
                    break;
                case "changeVersion":
                    sidecars[step.sidecar]!.setVersion("2");
                    break;
                case "setLink":
                    entries[step.entry]!.link.setMode(step.mode);
                    break;
                case "setEngine":
                    sidecars[step.sidecar]!.engine.setMode(step.mode);
                    break;
            }
        }
    }

    function judge(delivery: Delivery): void {
        const answers = ["1", "2"].map(version => getFullText(delivery.key, version).join(""));
        if (delivery.outcome === "answered") {
            expect(answers, "a whole answer of one version").to.include(delivery.body);
            expect(delivery.tokens, "usage").to.equal(getFullText(delivery.key, "1").length);
            return;
        }
        expect(delivery.outcome).to.equal("refused");
        expect(answers.some(answer => answer.startsWith(delivery.body)), "a beginning of one answer").to.equal(true);
        if (delivery.body !== "") {
            expect(delivery.runState).to.equal(RunState.RAN);
        }
    }

    it("are whole, in order and of one version, or end with an explicit refusal", async () => {
        await fc.assert(
            fc.asyncProperty(fc.nat(1_000), schedule, async (seed, steps) => {
                const deliveries = await runSchedule(seed, steps);
                deliveries.forEach(judge);
            }),
            {
                seed: Number(process.env["SCHEDULE_SEED"] ?? 1),
                numRuns: Number(process.env["SCHEDULE_RUNS"] ?? 25),
            },
        );
    });

    describe("one fault", () => {
        type Cluster = ReturnType<typeof createTestCluster>;

        async function doTest(
            act: (cluster: Cluster) => Promise<void>,
            expectedCounter?: CounterName,
        ): Promise<void> {
            const cluster = createTestCluster(1, 1, 3, "engine");
            await cluster.clock.sleep(500);
            const answer = cluster.entries[0]!.complete("epsilon zeta eta", "request", 60_000);
            await cluster.clock.sleep(15);
            await act(cluster);
            const delivery = await answer;
            await cluster.stop();
            expect(delivery.outcome, RefusalReason[delivery.reason]).to.equal("answered");
            judge(delivery);
            if (expectedCounter !== undefined) {
                expect(cluster.entries[0]!.metrics.getCount(expectedCounter)).to.be.at.least(1);
            }
        }

        it("of the link is made good at the same sidecar", () =>
            doTest(async ({ entries }) => {
                entries[0]!.link.breakCalls();
            }, CounterName.ResumedStreams));
        it("of every engine at once is made good by whichever comes back", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(crashing => crashing.engine.crash());
            }));
        it("of a sidecar is made good by the others", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(killed => killed.kill());
                sidecars.forEach(killed => killed.start());
            }));
        it("of a planned stop of every sidecar cuts nothing", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(drained => void drained.drain());
            }));
    });

    describe("a poisonous request", () => {
        async function doTest(resends: number, width: number, maximumCrashes: number): Promise<void> {
            const cluster = createTestCluster(1, 3, 8, "engine");
            const { clock, sidecars, entries } = cluster;
            await clock.sleep(500);
            const innocents: Promise<Delivery>[] = [];
            const refusals: RefusalReason[] = [];
            for (let resend = 0; resend < resends; resend++) {
                for (let number = 0; number < width; number++) {
                    const prompt = `innocent ${resend} ${number}`;
                    innocents.push(entries[number % 3]!.complete(prompt, `${prompt}`, 60_000));
                }
                const delivery = await entries[resend % 3]!.complete("poison", `poison-${resend}`, 60_000);
                expect(delivery.outcome).to.equal("refused");
                refusals.push(delivery.reason);
            }
            const answers = await Promise.all(innocents);
            await cluster.stop();
            const crashes = sidecars.reduce((sum, { engine }) => sum + engine.getCrashCount(), 0);
            expect(answers.filter(answer => answer.outcome !== "answered")).to.deep.equal([]);
            expect(refusals.at(-1)).to.equal(RefusalReason.QUARANTINED);
            expect(crashes).to.be.at.most(maximumCrashes);
        }

        it("crashes two engines, however often it is resent", () => doTest(20, 0, 2));
        it("crashes few engines in a crowd, and no bystander is refused", () => doTest(6, 24, 3));
    });
});
