import { expect } from "chai";
import fc from "fast-check";
import { CounterName } from "../../src/metrics";
import { RefusalReason, RunState } from "../../src/protocol";
import { EngineMode, getFullText } from "./createEngineFake";
import { LinkMode } from "./createLinkFake";
import { createTestCluster, Delivery } from "./createTestCluster";

/** One step of a schedule: a completion request or a fault. */
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
            mode: fc.constantFrom<LinkMode>("ok", "partitioned", "lostCalls", "lateCalls", "brokenResponses"),
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
            applyStep(step);
        }
        await clock.sleep(2_000);
        entries.forEach(restored => restored.link.setMode("ok"));
        sidecars.forEach(restored => {
            restored.start();
            restored.engine.setMode("ok");
        });
        const deliveries = await Promise.all(pending);
        await cluster.stop();
        return deliveries;

        function applyStep(step: Step): void {
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

    function checkDelivery(delivery: Delivery): void {
        const fullTexts = ["1", "2"].map(version => getFullText(delivery.key, version).join(""));
        if (delivery.outcome === "answered") {
            expect(fullTexts, "the complete text of one version").to.include(delivery.body);
            expect(delivery.tokens, "usage").to.equal(getFullText(delivery.key, "1").length);
            return;
        }
        expect(delivery.outcome).to.equal("refused");
        expect(fullTexts.some(text => text.startsWith(delivery.body)), "a prefix of one version's text").to.equal(true);
        if (delivery.body !== "") {
            expect(delivery.runState).to.equal(RunState.RAN);
        }
    }

    it("are complete, in order and of one version, or end with a refusal", async () => {
        await fc.assert(
            fc.asyncProperty(fc.nat(1_000), schedule, async (seed, steps) => {
                const deliveries = await runSchedule(seed, steps);
                deliveries.forEach(checkDelivery);
            }),
            {
                seed: Number(process.env["SCHEDULE_SEED"] ?? 1),
                numRuns: Number(process.env["SCHEDULE_RUNS"] ?? 25),
            },
        );
    });

    describe("recover from one fault", () => {
        type Cluster = ReturnType<typeof createTestCluster>;

        async function doTest(
            injectFault: (cluster: Cluster) => Promise<void>,
            expectedCounter?: CounterName,
        ): Promise<void> {
            const cluster = createTestCluster(1, 1, 3, "engine");
            await cluster.clock.sleep(500);
            const pendingDelivery = cluster.entries[0]!.complete("epsilon zeta eta", "request", 60_000);
            await cluster.clock.sleep(15);
            await injectFault(cluster);
            const delivery = await pendingDelivery;
            await cluster.stop();
            expect(delivery.outcome, RefusalReason[delivery.reason]).to.equal("answered");
            checkDelivery(delivery);
            if (expectedCounter !== undefined) {
                expect(cluster.entries[0]!.metrics.getCount(expectedCounter)).to.be.at.least(1);
            }
        }

        it("of the link, at the same sidecar", () =>
            doTest(async ({ entries }) => {
                entries[0]!.link.breakCalls();
            }, CounterName.ResumedStreams));
        it("of all engines at once, at the first one that is back", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(crashing => crashing.engine.crash());
            }));
        it("of all sidecars, which restart at once", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(killed => killed.kill());
                sidecars.forEach(killed => killed.start());
            }));
        it("of all sidecars that stop as planned", () =>
            doTest(async ({ sidecars }) => {
                sidecars.forEach(drained => void drained.drain());
            }));
    });

    describe("a request that crashes engines", () => {
        async function doTest(resends: number, bystanderCount: number, maximumCrashes: number): Promise<void> {
            const cluster = createTestCluster(1, 3, 8, "engine");
            const { clock, sidecars, entries } = cluster;
            await clock.sleep(500);
            const bystanders: Promise<Delivery>[] = [];
            const refusals: RefusalReason[] = [];
            for (let resend = 0; resend < resends; resend++) {
                for (let number = 0; number < bystanderCount; number++) {
                    const prompt = `innocent ${resend} ${number}`;
                    bystanders.push(entries[number % 3]!.complete(prompt, `${prompt}`, 60_000));
                }
                const delivery = await entries[resend % 3]!.complete("poison", `poison-${resend}`, 60_000);
                expect(delivery.outcome).to.equal("refused");
                refusals.push(delivery.reason);
            }
            const deliveries = await Promise.all(bystanders);
            await cluster.stop();
            const crashes = sidecars.reduce((sum, { engine }) => sum + engine.getCrashCount(), 0);
            expect(deliveries.filter(bystander => bystander.outcome !== "answered")).to.deep.equal([]);
            expect(refusals.at(-1)).to.equal(RefusalReason.QUARANTINED);
            expect(crashes).to.be.at.most(maximumCrashes);
        }

        it("crashes at most two, however often it is resent", () => doTest(20, 0, 2));
        it("crashes few under load, and no other request is refused", () => doTest(6, 24, 3));
    });
});
