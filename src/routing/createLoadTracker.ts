/*
 * Load notes of one entry: what companions said of their wait, fading, and what this entry has in flight at each.
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
    waitMilliseconds: number;
    waitObservedMilliseconds: number;
    failedUntilMilliseconds: number;
    requestsInFlight: number;
}

/**
 * Creates load notes.
 * @param clock - The clock by which notes fade.
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
