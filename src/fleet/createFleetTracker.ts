/*
 * Merges the platform's list with what the leader knows sooner. The list lags: an engine's own report of its weights goes
 * before an older version on the list, and a backend server that was seen to be leaving stays so.
 */
import { create } from "@bufbuild/protobuf";
import { DocumentState } from "../documents";
import { FleetInstance, FleetInstanceSchema, FleetViewSchema, LoadedWeights, WeightsTargetSchema } from "../protocol";
import { Clock } from "../runtime";
import { FleetTracker } from "./FleetTracker";

/**
 * Creates an empty board.
 * @param documents - Knows the named weights.
 * @param clock - The passing of time.
 * @param onChange - Called after each change of the view.
 */
export function createFleetTracker(
    documents: Pick<DocumentState, "getNamedWeights" | "addListener">,
    clock: Clock,
    onChange: () => void,
): FleetTracker {
    const leaving = new Set<string>();
    const loading = new Set<string>();
    const reported = new Map<string, Map<string, number>>();
    let instances: readonly FleetInstance[] | undefined;
    let term = 0n;
    let count = 0;
    let digest = "";
    documents.addListener(update);
    return {
        reset,
        setInstances,
        getInstances: () => instances?.map(applyObservations) ?? [],
        recordWeights,
        recordTermination,
        setLoading,
        getRevision: () => instances === undefined ? "" : `${term}.${count}`,
        getView,
    };

    function reset(newTerm: bigint): void {
        term = newTerm;
        instances = undefined;
        loading.clear();
        reported.clear();
        digest = "";
    }

    function setInstances(listed: readonly FleetInstance[]): void {
        instances = listed;
        const ids = new Set(listed.map(instance => instance.instanceId));
        listed.filter(instance => instance.isLeaving).forEach(instance => leaving.add(instance.instanceId));
        [...leaving].filter(id => !ids.has(id)).forEach(id => leaving.delete(id));
        [...reported.keys()].filter(id => !ids.has(id)).forEach(id => reported.delete(id));
        update();
    }

    function recordWeights(instanceId: string, weights: readonly LoadedWeights[]): void {
        const versions = reported.get(instanceId) ?? new Map<string, number>();
        weights.forEach(({ model, weightsVersion }) => versions.set(model, weightsVersion));
        reported.set(instanceId, versions);
        update();
    }

    function recordTermination(instanceId: string): void {
        leaving.add(instanceId);
        update();
    }

    function setLoading(instanceId: string, isLoading: boolean): void {
        if (isLoading) {
            loading.add(instanceId);
        }
        else {
            loading.delete(instanceId);
        }
        update();
    }

    /** Gets an instance as it is believed to be. */
    function applyObservations(instance: FleetInstance): FleetInstance {
        const versions = reported.get(instance.instanceId);
        return create(FleetInstanceSchema, {
            ...instance,
            isLeaving: leaving.has(instance.instanceId),
            isLoading: loading.has(instance.instanceId),
            weights: instance.weights.map(loaded => ({
                ...loaded,
                weightsVersion: Math.max(loaded.weightsVersion, versions?.get(loaded.model) ?? 0),
            })),
        });
    }

    function getView() {
        const now = clock.getWallMilliseconds();
        return create(FleetViewSchema, {
            instances: instances?.map(applyObservations) ?? [],
            targets: documents.getNamedWeights().map(({ model, weightsVersion, timeMilliseconds }) =>
                create(WeightsTargetSchema, {
                    model,
                    weightsVersion,
                    ageMilliseconds: Math.max(0, Math.round(now - timeMilliseconds)),
                })
            ),
        });
    }

    /** Counts a new revision where the view has changed. */
    function update(): void {
        if (instances === undefined) {
            return;
        }
        const named = documents.getNamedWeights().map(({ model, weightsVersion }) => [model, weightsVersion]);
        const newDigest = JSON.stringify([instances.map(applyObservations), named]);
        if (newDigest !== digest) {
            digest = newDigest;
            count += 1;
            onChange();
        }
    }
}
