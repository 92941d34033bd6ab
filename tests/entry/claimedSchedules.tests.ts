import { expect } from "chai";
import fc from "fast-check";
import { RefusalReason, RunState } from "../../src/protocol";
import { ControlMode } from "./createControlFake";
import { LinkMode } from "./createLinkFake";
import { Run, ServiceMode } from "./createServiceFake";
import { createTestCluster, Delivery } from "./createTestCluster";

/** One step of a schedule: a delivery or a fault. */
type Step =
    | { kind: "deliver"; key: string; entry: number; keyed: boolean; timeout: number; }
    | { kind: "killSidecar" | "startSidecar" | "drainSidecar" | "crashService"; sidecar: number; }
    | { kind: "killEntry"; entry: number; }
    | { kind: "setLink"; entry: number; mode: LinkMode; }
    | { kind: "setControl"; mode: ControlMode; }
    | { kind: "setService"; sidecar: number; mode: ServiceMode; };

interface TimedStep {
    /** The milliseconds before the step. */
    delay: number;
    step: Step;
}

const entryCount = 3;
const sidecarCount = 2;

describe("claimed requests under faults", () => {
    const entry = fc.nat(entryCount - 1);
    const sidecar = fc.nat(sidecarCount - 1);
    const deliver = fc.record<Extract<Step, { kind: "deliver"; }>>({
        kind: fc.constant("deliver"),
        key: fc.constantFrom("a", "b"),
        entry,
        keyed: fc.constantFrom(true, true, true, false),
        timeout: fc.constantFrom(50, 1_000, 60_000),
    });
    const fault: fc.Arbitrary<Step> = fc.oneof(
        fc.record({
            kind: fc.constantFrom(
                "killSidecar" as const,
                "startSidecar" as const,
                "drainSidecar" as const,
                "crashService" as const,
            ),
            sidecar,
        }),
        fc.record({ kind: fc.constant("killEntry" as const), entry: fc.nat(1) }),
        fc.record({
            kind: fc.constant("setLink" as const),
            entry,
            mode: fc.constantFrom<LinkMode>("ok", "partitioned", "lostCalls", "lateCalls", "brokenResponses"),
        }),
        fc.record({
            kind: fc.constant("setControl" as const),
            mode: fc.constantFrom<ControlMode>("ok", "ok", "down", "lostResponses", "lostCommands", "lateCommits"),
        }),
        fc.record({
            kind: fc.constant("setService" as const),
            sidecar,
            mode: fc.constantFrom<ServiceMode>("ok", "unreachable", "resetBeforeRun", "resetAfterRun", "truncated"),
        }),
    );
    const schedule = fc.array(
        fc.record<TimedStep>({
            delay: fc.constantFrom(0, 0, 5, 30, 100, 1_000),
            step: fc.oneof({ arbitrary: deliver, weight: 3 }, { arbitrary: fault, weight: 2 }),
        }),
        { minLength: 1, maxLength: 24 },
    );

    async function runSchedule(seed: number, steps: readonly TimedStep[]) {
        const cluster = createTestCluster(seed, entryCount, sidecarCount);
        const { clock, sidecars, control, entries, runs } = cluster;
        const killedEntries = new Set<number>();
        const pending: { entry: number; promise: Promise<Delivery>; }[] = [];
        await clock.sleep(500);
        for (const { delay, step } of steps) {
            await clock.sleep(delay);
            applyStep(step);
        }
        const survivors = pending.filter(({ entry: index }) => !killedEntries.has(index));
        const deliveries = await Promise.all(survivors.map(({ promise }) => promise));
        const resent = await resendAll();
        await clock.sleep(5_000);
        await cluster.stop();
        return { deliveries: [...deliveries, ...resent], runs, resent };

        function applyStep(step: Step): void {
            switch (step.kind) {
                case "deliver": {
                    const requestId = `${step.key}${step.keyed ? "-" : "="}${pending.length}`;
                    const promise = entries[step.entry]!.deliver(step.key, requestId, step.timeout, step.keyed);
                    pending.push({ entry: step.entry, promise });
                    break;
                }
                case "killSidecar":
                    sidecars[step.sidecar]!.kill();
                    break;
                case "startSidecar":
                    sidecars[step.sidecar]!.start();
                    break;
                case "drainSidecar":
                    void sidecars[step.sidecar]!.drain();
                    break;
                case "crashService":
                    sidecars[step.sidecar]!.service.crash();
                    break;
                case "killEntry":
                    entries[step.entry]!.kill();
                    killedEntries.add(step.entry);
                    break;
                case "setLink":
                    entries[step.entry]!.link.setMode(step.mode);
                    break;
                case "setControl":
                    control.setMode(step.mode);
                    break;
                case "setService":
                    sidecars[step.sidecar]!.service.setMode(step.mode);
                    break;
            }
        }

        /** Ends all faults and sends each key once more, to the entry process that is never killed. */
        async function resendAll(): Promise<readonly Delivery[]> {
            control.setMode("ok");
            entries.forEach(restored => restored.link.setMode("ok"));
            sidecars.forEach(restored => {
                restored.start();
                restored.service.setMode("ok");
            });
            await clock.sleep(10_000);
            return Promise.all(
                ["a", "b"].map(key => entries[entryCount - 1]!.deliver(key, `${key}-late`, 60_000)),
            );
        }
    }

    function checkDeliveries(deliveries: readonly Delivery[], runs: readonly Run[]): void {
        for (const key of ["a", "b"]) {
            const keyedRuns = runs.filter(run => run.requestId.startsWith(`${key}-`));
            expect(keyedRuns.length, `runs of ${key}`).to.be.at.most(1);
        }
        for (const delivery of deliveries) {
            checkDelivery(delivery, runs);
        }
    }

    function checkDelivery(delivery: Delivery, runs: readonly Run[]): void {
        const ownRuns = runs.filter(run => run.requestId === delivery.requestId);
        expect(ownRuns.length, "runs of one delivery").to.be.at.most(1);
        if (delivery.outcome === "answered") {
            expect(delivery.body).to.equal(`released ${delivery.key}`);
            const keyRuns = delivery.hasIdempotencyKey ? runs.filter(run => run.key === delivery.key) : ownRuns;
            expect(keyRuns.length, "runs behind a response").to.be.at.least(1);
        }
        if (delivery.outcome === "refused" && delivery.runState === RunState.NOT_RUN) {
            const earlierRuns = runs.filter(run => run.timeMilliseconds <= delivery.timeMilliseconds);
            const keyRuns = earlierRuns.filter(run =>
                delivery.hasIdempotencyKey && run.requestId.startsWith(`${delivery.key}-`)
            );
            const contradictingRuns = [...ownRuns, ...keyRuns];
            expect(contradictingRuns, `"not run" of ${delivery.requestId}`).to.deep.equal([]);
        }
    }

    it("run at most once, and have not run if a refusal reports so", async () => {
        await fc.assert(
            fc.asyncProperty(fc.nat(1_000), schedule, async (seed, steps) => {
                const { deliveries, resent, runs } = await runSchedule(seed, steps);
                checkDeliveries(deliveries, runs);
                for (const delivery of resent) {
                    const isSettled = delivery.outcome === "answered"
                        || delivery.reason === RefusalReason.OUTCOME_UNKNOWN
                        || delivery.reason === RefusalReason.ANSWER_NOT_KEPT;
                    expect(isSettled, `resent ${RefusalReason[delivery.reason]}`).to.equal(true);
                }
            }),
            { seed: Number(process.env["SCHEDULE_SEED"] ?? 1), numRuns: Number(process.env["SCHEDULE_RUNS"] ?? 25) },
        );
    });
});
