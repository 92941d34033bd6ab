/*
 * Records what a sidecar's refusal reveals about the sidecar's state.
 */
import { ProcessRecord, RefusalReason, Refused } from "../protocol";
import { EntryOptions } from "./EntryOptions";

/**
 * Updates placement, directory and authority from a refusal.
 * @param options - The entry's options.
 * @param sidecar - The sidecar that refused the request.
 * @param refused - The refusal.
 */
export function recordRefusal(options: EntryOptions, sidecar: ProcessRecord, refused: Refused): void {
    const { authority, directory, placement } = options;
    const { configurationRevision, hint, reason } = refused;
    authority.addSeenRevision(configurationRevision);
    if (reason === RefusalReason.DRAINING) {
        directory.addLeaving(sidecar.instanceId, sidecar.incarnation);
    }
    if (reason === RefusalReason.BACKEND_CRASHED || reason === RefusalReason.BACKEND_UNREACHABLE) {
        placement.addObservation({ kind: "failed", instanceId: sidecar.instanceId });
        return;
    }
    placement.addObservation({
        kind: "refused",
        instanceId: sidecar.instanceId,
        prefixHash: hint === undefined ? undefined : Buffer.from(hint.prefixHash).toString("hex"),
        replicaCount: hint?.spread ?? 1,
        sibling: hint?.sibling || undefined,
        predictedWaitMilliseconds: hint?.predictedWaitMilliseconds ?? 0,
    });
}
