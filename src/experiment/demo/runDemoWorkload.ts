/*
 * Runs a demonstration's workload against a running deployment, takes the scheduled actions meanwhile, and checks the
 * guarantees of the system.
 */
import { createWorkloadClient, sendWorkload } from "../client";
import { DemoAction } from "./DemoAction";
import { DemoOptions } from "./DemoOptions";
import { DemoResult } from "./DemoResult";
import { getDemoResult } from "./getDemoResult";

const progressIntervalMilliseconds = 200;
const millisecondsPerSecond = 1_000;

/**
 * Runs the workload; resolves once every request and action has ended.
 * @param options - The workload, the deployment to which it is sent and the actions.
 */
export async function runDemoWorkload(options: DemoOptions): Promise<DemoResult> {
    const { clock, workload } = options;
    const client = createWorkloadClient(options);
    const start = clock.getMonotonicMilliseconds();
    const progress = { sent: 0, ended: 0 };
    const finished = new AbortController();
    let lastAction = "";
    const sending = sendWorkload(client, workload, clock, start, progress).finally(() => finished.abort());
    const progressDisplay = reportProgressPeriodically();
    await Promise.all([...options.actions.map(runAction), sending]);
    await progressDisplay;
    await client.stop();
    return getDemoResult(await sending, options.getRuns(), options.groundTruth);

    async function runAction(action: DemoAction): Promise<void> {
        await clock.sleep(action.atSeconds * millisecondsPerSecond);
        lastAction = action.name;
        await action.run();
    }

    async function reportProgressPeriodically(): Promise<void> {
        while (!finished.signal.aborted) {
            reportProgress();
            await clock.sleep(progressIntervalMilliseconds, finished.signal);
        }
        reportProgress();
    }

    function reportProgress(): void {
        const elapsedSeconds = (clock.getMonotonicMilliseconds() - start) / millisecondsPerSecond;
        options.onProgress({ elapsedSeconds, total: workload.requests.length, ...progress, lastAction });
    }
}
