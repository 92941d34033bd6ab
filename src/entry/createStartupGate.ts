/*
 * Holds the requests of an entry that has just started until it has a configuration and may act on it, so that a
 * restarted entry serves the first requests instead of refusing them.
 */
import { Authority } from "../membership";
import { Clock } from "../runtime";
import { StartupGate } from "./StartupGate";

const maximumWaitMilliseconds = 5_000;
const pollMilliseconds = 20;

/** The options of a startup gate. */
interface StartupGateOptions {
    /** The configuration that this process holds; revision 0 means none. */
    configuration: { getRevision(): bigint; };
    /** Checks whether this process may act on the configuration that it holds. */
    authority: Pick<Authority, "checkAuthority">;
    /** The source of time. */
    clock: Clock;
}

/** Creates the startup gate of an entry; the maximum wait is measured from this call. */
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
