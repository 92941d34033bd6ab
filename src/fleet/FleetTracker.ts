/*
 * The leader's view of the fleet: the platform's list, corrected by what the leader itself has seen.
 */
import { FleetSource } from "../feed";
import { FleetInstance, LoadedWeights } from "../protocol";

/** Collects what is known of the backend servers. */
export interface FleetTracker extends FleetSource {
    /** Starts a new view under a term of leadership; nothing of the former one is kept. */
    reset(term: bigint): void;
    /** Replaces the list by a newer one. */
    setInstances(instances: readonly FleetInstance[]): void;
    /** Gets the backend servers as of now. */
    getInstances(): readonly FleetInstance[];
    /** Notes weights that an engine itself reported. */
    recordWeights(instanceId: string, weights: readonly LoadedWeights[]): void;
    /** Notes that an address answers for another backend server: the one named has left, whatever the list says. */
    recordTermination(instanceId: string): void;
    /** Notes whether an engine is, or is about to be, taking new weights. */
    setLoading(instanceId: string, isLoading: boolean): void;
}
