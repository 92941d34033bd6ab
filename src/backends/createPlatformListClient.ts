/*
 * An HTTP client of the platform's list of instances, which lags behind the actual instances.
 */
import { PlatformInstance, PlatformList } from "../membership";
import { createSystemClock, runWithTimeout, Stoppable } from "../runtime";
import { createBackendAgent } from "./createBackendAgent";
import { readJsonBody } from "./readJsonBody";
import { ServiceAdapterOptions } from "./ServiceAdapterOptions";

const timeoutMilliseconds = 2_000;
/** The maximum size of the list, in bytes: tens of thousands of instances. */
const maximumListBytes = 16_777_216;

/**
 * Creates a client of the platform's list.
 * @param options - The address of the platform's API.
 */
export function createPlatformListClient(options: ServiceAdapterOptions): PlatformList & Stoppable {
    const agent = createBackendAgent({ connectTimeoutMilliseconds: timeoutMilliseconds });
    const clock = createSystemClock();
    return { getInstances, stop: () => agent.destroy() };

    async function getInstances(signal: AbortSignal): Promise<readonly PlatformInstance[] | undefined> {
        try {
            return await runWithTimeout(clock, timeoutMilliseconds, signal, readInstances);
        }
        catch {
            return undefined;
        }
    }

    async function readInstances(signal: AbortSignal): Promise<readonly PlatformInstance[] | undefined> {
        const response = await agent.request({ origin: options.address, method: "GET", path: "/instances", signal });
        const list = await readJsonBody(response.body, maximumListBytes) as {
            instances?: readonly PlatformInstance[];
        };
        return response.statusCode === 200 ? list.instances : undefined;
    }
}
