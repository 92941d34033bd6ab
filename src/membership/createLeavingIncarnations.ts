/*
 * Records which incarnations are known to be leaving, from any source. Only the latest ones of each instance are
 * kept.
 */
import { LeavingIncarnations } from "./LeavingIncarnations";

const maximumIncarnationsPerInstance = 8;

/** Creates an empty set of leaving incarnations. */
export function createLeavingIncarnations(): LeavingIncarnations {
    const byInstance = new Map<string, Set<string>>();
    return { add, has };

    function add(instanceId: string, incarnation: string): boolean {
        const incarnations = byInstance.get(instanceId) ?? new Set<string>();
        byInstance.set(instanceId, incarnations);
        if (incarnations.has(incarnation)) {
            return false;
        }
        incarnations.add(incarnation);
        if (incarnations.size > maximumIncarnationsPerInstance) {
            const [oldest] = incarnations;
            incarnations.delete(oldest!);
        }
        return true;
    }

    function has(instanceId: string, incarnation: string): boolean {
        return byInstance.get(instanceId)?.has(incarnation) ?? false;
    }
}
