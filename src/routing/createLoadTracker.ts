/*
 * Tracks the load of instances for one entry process: the wait that each sidecar last reported, which decays linearly,
 * and the requests that this entry process has in flight at each.
 */
import { LRUCache } from "lru-cache";
import { assertNever } from "../errors";
import { Clock } from "../runtime";
import { LoadTracker } from "./LoadTracker";
import { RoutingObservation } from "./RoutingObservation";

const maximumInstances = 4_096;
const waitDecayMilliseconds = 1_000;
const failureCooldownMilliseconds = 1_000;
const millisecondsPerRequestInFlight = 20;

interface InstanceLoad {
    /** The wait that the sidecar last reported. */
    waitMilliseconds: number;
    /** When it was reported, on the monotonic clock. */
    waitObservedMilliseconds: number;
    /** Until when the instance counts as failed, on the monotonic clock. */
    failedUntilMilliseconds: number;
    requestsInFlight: number;
}

/**
 * Creates a tracker without observations.
 * @param clock - The clock by which observations lose weight.
 */
export function createLoadTracker(clock: Clock): LoadTracker {
    const loads = new LRUCache<string, InstanceLoad>({ max: maximumInstances });
    return { addObservation, getExpectedWaitMilliseconds, hasFailedRecently };

    function addObservation(observation: RoutingObservation): void {
        const load = getOrAddLoad(observation.instanceId);
        switch (observation.kind) {
            case "dispatched":
                load.requestsInFlight++;
                return;
            case "refused":
                setWait(load, observation.predictedWaitMilliseconds);
                break;
            case "answered":
                setWait(load, observation.queueMilliseconds);
                break;
            case "failed":
                load.failedUntilMilliseconds = clock.getMonotonicMilliseconds() + failureCooldownMilliseconds;
                break;
            case "cancelled":
                break;
            default:
                assertNever(observation);
        }
        load.requestsInFlight = Math.max(0, load.requestsInFlight - 1);
    }

    function getExpectedWaitMilliseconds(instanceId: string): number {
        const load = loads.get(instanceId);
        if (load === undefined) {
            return 0;
        }
        const ageMilliseconds = clock.getMonotonicMilliseconds() - load.waitObservedMilliseconds;
        const decayFactor = Math.max(0, 1 - ageMilliseconds / waitDecayMilliseconds);
        return load.waitMilliseconds * decayFactor + load.requestsInFlight * millisecondsPerRequestInFlight;
    }

    function hasFailedRecently(instanceId: string): boolean {
        const failedUntilMilliseconds = loads.get(instanceId)?.failedUntilMilliseconds ?? -Infinity;
        return clock.getMonotonicMilliseconds() < failedUntilMilliseconds;
    }

    function setWait(load: InstanceLoad, waitMilliseconds: number): void {
        load.waitMilliseconds = waitMilliseconds;
        load.waitObservedMilliseconds = clock.getMonotonicMilliseconds();
    }

    function getOrAddLoad(instanceId: string): InstanceLoad {
        const existing = loads.get(instanceId);
        if (existing !== undefined) {
            return existing;
        }
        const added = {
            waitMilliseconds: 0,
            waitObservedMilliseconds: 0,
            failedUntilMilliseconds: -Infinity,
            requestsInFlight: 0,
        };
        loads.set(instanceId, added);
        return added;
    }
}
