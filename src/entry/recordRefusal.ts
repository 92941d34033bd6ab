/*
 * Passes on what a sidecar's refusal says of the sidecar.
 */
import { ProcessRecord, RefusalReason, Refused } from "../protocol";
import { EntryOptions } from "./EntryOptions";

/** Tells placement, directory and authority what a refusal says. */
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
        spread: hint?.spread ?? 1,
        sibling: hint?.sibling || undefined,
        predictedWaitMilliseconds: hint?.predictedWaitMilliseconds ?? 0,
    });
}
