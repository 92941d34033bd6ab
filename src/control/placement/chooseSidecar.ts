/*
 * Chooses which backend server of a model takes the next step, within the capacity floor.
 */
import { ProcessRecord } from "../../protocol";
import { getMinimumInService } from "./getMinimumInService";
import { isInService } from "./isInService";

/** What the choice depends on. */
interface SidecarChoiceOptions {
    /** The model's live sidecars, by instance id. */
    sidecars: readonly ProcessRecord[];
    /** How many backend servers there should be. */
    size: number;
    /** The least share of them that must stay in service. */
    capacityFloor: number | undefined;
    /** The sidecar that has taken the canary's first steps; undefined where none has or the canary has passed. */
    canary: string | undefined;
    /** Tells whether a sidecar is out of service for a step, whatever its record says. */
    isBusy(record: ProcessRecord): boolean;
    /** Tells whether a sidecar needs an order and may be given it now. */
    needsOrder(record: ProcessRecord): boolean;
}

/**
 * Chooses a sidecar: the canary first, then those that serve nothing, then the others as far as the floor allows.
 * @param options - What the choice depends on.
 * @returns The sidecar; undefined where none may take a step now.
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
