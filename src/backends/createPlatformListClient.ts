/*
 * An HTTP client of the platform's list of instances, which lags behind the actual instances.
 */
import { Agent } from "undici";
import { PlatformInstance, PlatformList } from "../membership";
import { Stoppable } from "../runtime";
import { ServiceAdapterOptions } from "./ServiceAdapterOptions";

const timeoutMilliseconds = 2_000;

/**
 * Creates a client of the platform's list.
 * @param options - The address of the platform's API.
 */
export function createPlatformListClient(options: ServiceAdapterOptions): PlatformList & Stoppable {
    const agent = new Agent({ connect: { timeout: timeoutMilliseconds } });
    return { getInstances, stop: () => agent.destroy() };

    async function getInstances(signal: AbortSignal): Promise<readonly PlatformInstance[] | undefined> {
        try {
            const response = await agent.request({
                origin: options.address,
                method: "GET",
                path: "/instances",
                signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMilliseconds)]),
            });
            const list = await response.body.json() as { instances?: readonly PlatformInstance[]; };
            return response.statusCode === 200 ? list.instances : undefined;
        }
        catch {
            return undefined;
        }
    }
}
