/*
 * Runs one policy under a workload in an open loop: each request is sent at its arrival time, whether or not earlier
 * ones have ended.
 */
import { createWorkloadClient, sendWorkload } from "./client";
import { startDeployment } from "./deployment";
import { ExperimentOptions } from "./ExperimentOptions";
import { startEventLoopLagMonitor } from "./measures";
import { createFleetGroundTruth, createPolicyComponents, PolicyName } from "./policies";
import { RunOutcome } from "./RunOutcome";
import { scheduleFaults } from "./scheduleFaults";
import { Workload } from "./workloads";

const blockTokens = 4_096;
const prefillTokensPerSecond = 20_000;
const engineCount = 8;
const serviceReplicaCount = 3;
const entryCount = 3;
const startDelayMilliseconds = 200;
const millisecondsPerSecond = 1_000;

/**
 * Runs a policy.
 * @param policy - The policy to run.
 * @param workload - The requests to send, those of the warm-up included.
 * @param options - The options of the experiment.
 */
export async function runPolicy(
    policy: PolicyName,
    workload: Workload,
    options: ExperimentOptions,
): Promise<RunOutcome> {
    const { clock, seed } = options;
    const totalSeconds = options.warmUpSeconds + options.seconds;
    const groundTruth = createFleetGroundTruth(blockTokens);
    const components = createPolicyComponents(policy, {
        clock,
        seed,
        groundTruth,
        blockTokens,
        prefillTokensPerSecond,
    });
    const deployment = await startDeployment({
        workload,
        engineCount,
        serviceReplicaCount,
        entryCount,
        prefillTokensPerSecond,
        seed,
        clock,
        observer: groundTruth,
        ...components,
    });
    const client = createWorkloadClient({ clock, getAddresses: deployment.getAddresses });
    const lagMonitor = startEventLoopLagMonitor(clock);
    const start = clock.getMonotonicMilliseconds() + startDelayMilliseconds;
    const wastedTokens: number[] = [];
    let computedBefore = 0;
    let computedAfter = 0;
    const progress = { sent: 0, ended: 0 };
    const sending = sendWorkload(client, workload, clock, start, progress);
    const [records] = await Promise.all([sending, sampleEachSecond(), scheduleFaults(deployment, options, start)]);
    const runs = deployment.getRuns();
    const eventLoopLagMilliseconds = lagMonitor.getLagMilliseconds();
    await Promise.all([lagMonitor.stop(), client.stop()]);
    await deployment.stop();
    const computedTokens = computedAfter - computedBefore;
    return { policy, records, runs, computedTokens, wastedTokens, eventLoopLagMilliseconds };

    /** Records the wasted tokens at the start of each measured second and reports the progress of the run. */
    async function sampleEachSecond(): Promise<void> {
        for (let second = 0; second <= totalSeconds; second++) {
            await sleepUntil(second * millisecondsPerSecond);
            if (second === options.warmUpSeconds) {
                computedBefore = groundTruth.getComputedTokens();
            }
            if (second >= options.warmUpSeconds) {
                wastedTokens.push(groundTruth.getWastedTokens());
            }
            options.onProgress({ policy, load: options.load, elapsedSeconds: second, totalSeconds, ...progress });
        }
        computedAfter = groundTruth.getComputedTokens();
    }

    async function sleepUntil(milliseconds: number): Promise<void> {
        const remaining = start + milliseconds - clock.getMonotonicMilliseconds();
        if (remaining > 0) {
            await clock.sleep(remaining);
        }
    }
}
