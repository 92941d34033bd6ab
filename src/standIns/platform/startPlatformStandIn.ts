/*
 * Starts a stand-in for the platform: `PUT /instances` replaces the list of instances, and `GET /instances` returns the
 * list with a lag.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { createSystemClock } from "../../runtime";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { startStandInServer } from "../startStandInServer";
import { ListedInstance } from "./ListedInstance";
import { PlatformStandIn } from "./PlatformStandIn";
import { PlatformStandInOptions } from "./PlatformStandInOptions";

const defaultLagMilliseconds = 2_000;

/**
 * Starts a platform stand-in, which serves HTTP.
 * @param options - The options that differ from the defaults.
 */
export async function startPlatformStandIn(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
    const clock = options.clock ?? createSystemClock();
    const lagMilliseconds = options.lagMilliseconds ?? defaultLagMilliseconds;
    let visibleInstances = options.instances ?? [];
    const pendingChanges: { time: number; instances: readonly ListedInstance[]; }[] = [];
    const server = await startStandInServer(options.port ?? 0, handle, options.address);
    return { address: server.address, stop: server.stop, setInstances };

    function setInstances(instances: readonly ListedInstance[]): void {
        pendingChanges.push({ time: clock.getMonotonicMilliseconds(), instances });
    }

    /** Applies the changes that are older than the lag and gets the list. */
    function getVisibleInstances(): readonly ListedInstance[] {
        const newest = clock.getMonotonicMilliseconds() - lagMilliseconds;
        while (pendingChanges[0] !== undefined && pendingChanges[0].time <= newest) {
            visibleInstances = pendingChanges.shift()!.instances;
        }
        return visibleInstances;
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url !== "/instances") {
            sendJson(response, 404, { error: "The path is unknown" });
        }
        else if (request.method === "PUT") {
            const body = JSON.parse((await readBody(request)).toString("utf8")) as { instances: ListedInstance[]; };
            setInstances(body.instances);
            sendJson(response, 202, {});
        }
        else {
            sendJson(response, 200, { instances: getVisibleInstances() });
        }
    }
}
