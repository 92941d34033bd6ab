/*
 * Chooses which backend server of a model takes the next step, within the capacity floor.
 */
import { ProcessRecord } from "../../protocol";
import { getLeastInService } from "./getLeastInService";
import { isInService } from "./isInService";

/** What the choice depends on. */
interface SidecarChoice {
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
 * @param choice - What the choice depends on.
 * @returns The sidecar; undefined where none may take a step now.
 */
export function chooseSidecar(choice: SidecarChoice): ProcessRecord | undefined {
    const { sidecars, canary } = choice;
    const size = Math.max(choice.size, sidecars.length);
    const least = getLeastInService(size, choice.capacityFloor);
    const inService = sidecars.filter(record => isInService(record) && !choice.isBusy(record)).length;
    const candidates = sidecars.filter(record => !choice.isBusy(record) && choice.needsOrder(record));
    const allowed = candidates.filter(record => !isInService(record) || inService > least);
    return allowed.find(record => record.instanceId === canary)
        ?? allowed.find(record => !isInService(record))
        ?? allowed[0];
}
