/*
 * Chooses the backend server of a model that takes the next step, within the capacity floor.
 */
import { ProcessRecord } from "../../protocol";
import { getMinimumInService } from "./getMinimumInService";
import { isInService } from "./isInService";

/** The options of `chooseSidecar`. */
interface SidecarChoiceOptions {
    /** The live sidecars of the model, ordered by instance id. */
    sidecars: readonly ProcessRecord[];
    /** The number of backend servers that the capacity floor is a share of. */
    size: number;
    /** The minimum share of them that must stay in service, from 0 to 1; undefined for the default. */
    capacityFloor: number | undefined;
    /** The sidecar that took the first step of the canary; undefined where none has or the canary has passed. */
    canary: string | undefined;
    /** Returns whether a sidecar has an open step or is backing off; it then counts as out of service. */
    isBusy(record: ProcessRecord): boolean;
    /** Returns whether a sidecar needs an order to reach the target. */
    needsOrder(record: ProcessRecord): boolean;
}

/**
 * Chooses a sidecar: the canary first, then one that is not in service, then another one as far as the floor allows.
 * @param options - The sidecars, the capacity floor, and the state of the steps.
 * @returns The record of the sidecar; undefined where none may take a step now.
 */
export function chooseSidecar(options: SidecarChoiceOptions): ProcessRecord | undefined {
    const { sidecars, canary } = options;
    const size = Math.max(options.size, sidecars.length);
    const minimumInService = getMinimumInService(size, options.capacityFloor);
    const inService = sidecars.filter(record => isInService(record) && !options.isBusy(record)).length;
    const candidates = sidecars.filter(record => !options.isBusy(record) && options.needsOrder(record));
    const allowed = candidates.filter(record => !isInService(record) || inService > minimumInService);
    return allowed.find(record => record.instanceId === canary)
        ?? allowed.find(record => !isInService(record))
        ?? allowed[0];
}
