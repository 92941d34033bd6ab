/*
 * Injects faults in the middle of the measured time.
 */
import { assertNever } from "../errors";
import { Deployment } from "./deployment";
import { ExperimentOptions } from "./ExperimentOptions";
import { FaultName } from "./FaultName";

const millisecondsPerSecond = 1_000;
const eventLossShare = 0.3;
const eventLossDurationMilliseconds = 5_000;

/**
 * Injects the experiment's faults; resolves once they are over.
 * @param deployment - The deployment to disturb.
 * @param options - The options of the experiment, with its faults.
 * @param startMilliseconds - The time at which the workload starts, on the monotonic clock.
 */
export async function scheduleFaults(
    deployment: Deployment,
    options: ExperimentOptions,
    startMilliseconds: number,
): Promise<void> {
    const { clock, faults } = options;
    if (faults.length === 0) {
        return;
    }
    const faultSeconds = options.warmUpSeconds + Math.floor(options.seconds / 2);
    await clock.sleep(startMilliseconds + faultSeconds * millisecondsPerSecond - clock.getMonotonicMilliseconds());
    await Promise.all(faults.map(injectFault));

    async function injectFault(fault: FaultName): Promise<void> {
        switch (fault) {
            case FaultName.EngineCrash:
                await deployment.engines[0]!.crash();
                break;
            case FaultName.EntryRestart:
                await deployment.restartEntries();
                break;
            case FaultName.EventLoss:
                deployment.engines.forEach(engine => engine.setCacheEventLoss(eventLossShare));
                await clock.sleep(eventLossDurationMilliseconds);
                deployment.engines.forEach(engine => engine.setCacheEventLoss(0));
                break;
            case FaultName.PopularityShift:
            case FaultName.HeavySubscriber:
                break;
            default:
                assertNever(fault);
        }
    }
}
