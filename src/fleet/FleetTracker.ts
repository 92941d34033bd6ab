/*
 * The leader's view of the fleet: the platform's list, corrected by the leader's own observations.
 */
import { FleetInstance, LoadedWeights } from "../protocol";
import { FleetSource } from "./FleetSource";
import { SharedLimit } from "./SharedLimit";

/** Tracks the backend servers of the fleet. */
export interface FleetTracker extends FleetSource {
    /**
     * Starts a new view, without a list, reported weights or loading engines. Leaving and terminated instances stay
     * marked until a list no longer contains them, or shows a later start.
     * @param term - The term of leadership, which is part of the view's revisions.
     */
    reset(term: bigint): void;
    /**
     * Replaces the platform's list.
     * @param instances - All instances of the newer list.
     */
    setInstances(instances: readonly FleetInstance[]): void;
    /** Gets the backend servers of the list with the observations applied; empty before the first list. */
    getInstances(): readonly FleetInstance[];
    /**
     * Records weights that an engine itself has reported.
     * @param instanceId - The engine's instance id.
     * @param weights - The weights that the engine serves.
     */
    recordWeights(instanceId: string, weights: readonly LoadedWeights[]): void;
    /**
     * Records that an instance has terminated, because another backend server responds at its address. The view shows
     * the instance as leaving as long as the list contains it without a later start.
     * @param instance - The terminated instance.
     */
    recordTermination(instance: FleetInstance): void;
    /**
     * Records whether an engine is loading new weights or about to do so.
     * @param instanceId - The engine's instance id.
     * @param isLoading - Whether it is loading.
     */
    setLoading(instanceId: string, isLoading: boolean): void;
    /**
     * Replaces the subjects that may have caused several crashes.
     * @param subjectIds - The ids of the subjects.
     */
    setSuspectedSubjects(subjectIds: readonly string[]): void;
    /**
     * Replaces the limits of backend servers.
     * @param limits - The limits, by instance id in order.
     */
    setServerLimits(limits: readonly SharedLimit[]): void;
}
