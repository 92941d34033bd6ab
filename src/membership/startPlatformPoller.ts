/*
 * Polls the platform's list of instances. The list is only a hint, since it lags.
 */
import { Clock, Stoppable } from "../runtime";
import { PlatformInstance } from "./PlatformInstance";
import { PlatformList } from "./PlatformList";

const pollMilliseconds = 1_000;

/**
 * Starts polling the platform's list.
 * @param list - The platform's list.
 * @param clock - The process's clock.
 * @param handleInstances - Called with the instances of each list that was read.
 */
export function startPlatformPoller(
    list: PlatformList,
    clock: Clock,
    handleInstances: (instances: readonly PlatformInstance[]) => void,
): Stoppable {
    const stopped = new AbortController();
    const running = run();
    return { stop };

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            const instances = await list.getInstances(stopped.signal);
            if (instances !== undefined) {
                handleInstances(instances);
            }
            await clock.sleep(pollMilliseconds, stopped.signal);
        }
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await running;
    }
}
