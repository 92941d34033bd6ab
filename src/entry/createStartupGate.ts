/*
 * Holds the requests of an entry that has only just started until it has its configuration and the right to act on it,
 * so that a restarted entry serves what it is sent instead of refusing it.
 */
import { Authority } from "../membership";
import { Clock } from "../runtime";
import { StartupGate } from "./StartupGate";

const maximumWaitMilliseconds = 5_000;
const pollMilliseconds = 20;

/** What the start gate watches. */
interface StartupGateOptions {
    configuration: { getRevision(): bigint; };
    authority: Pick<Authority, "checkAuthority">;
    clock: Clock;
}

/** Creates the gate of an entry; the patience runs from now on. */
export function createStartupGate(options: StartupGateOptions): StartupGate {
    const { authority, clock, configuration } = options;
    const deadlineMilliseconds = clock.getMonotonicMilliseconds() + maximumWaitMilliseconds;
    let hasBeenReady = false;
    return { isOpen: () => hasBeenReady, waitUntilOpen };

    async function waitUntilOpen(): Promise<boolean> {
        while (!hasBeenReady && !await checkReadiness() && clock.getMonotonicMilliseconds() < deadlineMilliseconds) {
            await clock.sleep(pollMilliseconds);
        }
        return configuration.getRevision() > 0n;
    }

    async function checkReadiness(): Promise<boolean> {
        hasBeenReady = configuration.getRevision() > 0n && await authority.checkAuthority();
        return hasBeenReady;
    }
}
