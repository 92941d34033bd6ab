/*
 * Compares policies on simulated engines in virtual time, with the production placement, prefix index and scheduler:
 * `npx tsx scripts/measure/calculatePolicies.ts --workload corrib --load 1.6 --seconds 300 --seed 1`. The figures are
 * results of a simulation; the experiment tool measures real processes.
 */
import { parseArgs } from "node:util";
import { PolicyName } from "../../src/experiment/policies";
import { createWorkload, WorkloadKind } from "../../src/experiment/workloads";
import { getSimulatedRequests } from "./calculation/getSimulatedRequests";
import { runSimulation } from "./calculation/runSimulation";
import { summarize } from "./calculation/summarize";

const { values } = parseArgs({
    options: {
        workload: { type: "string", default: "regie,corrib" },
        load: { type: "string", default: "0.8,1.6" },
        policies: { type: "string", default: Object.values(PolicyName).join(",") },
        seconds: { type: "string", default: "300" },
        seed: { type: "string", default: "1" },
        replicas: { type: "string", default: "8" },
        entries: { type: "string", default: "3" },
        serial: { type: "boolean", default: false },
        loss: { type: "string", default: "0" },
        shift: { type: "string" },
        heavy: { type: "string" },
        scheduler: { type: "string", default: "{}" },
    },
});
const prefillTokensPerSecond = 20_000;
const replicas = Number(values.replicas);

void calculate();

/** Simulates each policy on each workload at each load, and prints one line for each combination. */
async function calculate(): Promise<void> {
    for (const kind of values.workload.split(",") as WorkloadKind[]) {
        for (const load of values.load.split(",").map(Number)) {
            const workload = createWorkload({
                kind,
                load,
                seconds: Number(values.seconds),
                seed: Number(values.seed),
                engineCount: replicas,
                prefillTokensPerSecond,
                popularityShiftSeconds: values.shift === undefined ? undefined : Number(values.shift),
                excessFactor: values.heavy === undefined ? undefined : Number(values.heavy),
            });
            const requests = getSimulatedRequests(workload);
            for (const policy of values.policies.split(",") as PolicyName[]) {
                const result = await runSimulation({
                    policy,
                    requests,
                    replicas,
                    prefillTokensPerSecond,
                    entries: Number(values.entries),
                    warmUpMilliseconds: Number(values.seconds) * 1_000 / 5,
                    isPreemptive: !values.serial,
                    cacheBlocks: 250,
                    deadlineMilliseconds: 120_000,
                    scheduler: JSON.parse(values.scheduler),
                    eventLossShare: Number(values.loss),
                });
                console.log(JSON.stringify({ workload: kind, load, policy, ...summarize(result) }));
            }
        }
    }
}
