/*
 * Answers other processes' requests for a sidecar's state: whether the sidecar confirms their revision, and its
 * configuration, sidecar set and records, so that a process that has just started can serve while no control member can
 * be reached.
 */
import { create } from "@bufbuild/protobuf";
import {
    FetchStateRequest,
    FetchStateResponse,
    FetchStateResponseSchema,
    ProcessRole,
    VouchRequest,
    VouchResponse,
    VouchResponseSchema,
} from "../protocol";
import { StateHandler } from "./StateHandler";
import { StateHandlerOptions } from "./StateHandlerOptions";

/**
 * Creates a sidecar's state handler.
 * @param options - What the handler depends on.
 */
export function createStateHandler(options: StateHandlerOptions): StateHandler {
    const { instanceId, authority, lease, sidecarSet, directory, confirmationPromises, getSnapshot } = options;
    return { confirmRevision, fetchState };

    function confirmRevision(request: VouchRequest): VouchResponse {
        const revision = authority.getRevision();
        const isFresh = authority.isLeaseFresh();
        authority.addSeenRevision(request.configurationRevision);
        const counts = lease.hasBeenGranted() && revision >= lease.getRequiredRevision();
        const mayPromise = !isFresh && counts && request.configurationRevision >= revision;
        return create(VouchResponseSchema, {
            instanceId,
            configurationRevision: revision,
            companionSetNumber: sidecarSet.getNumber(),
            leaseFresh: isFresh,
            counts,
            promiseMilliseconds: mayPromise
                ? confirmationPromises.add(request.configurationRevision, sidecarSet.getNumber())
                : 0,
        });
    }

    function fetchState(request: FetchStateRequest): FetchStateResponse {
        const hasNewerConfiguration = authority.getRevision() > request.configurationRevision;
        const hasNewerSet = sidecarSet.getNumber() > request.companionSetNumber;
        const records = request.withoutDirectory ? [] : directory.getRecords();
        return create(FetchStateResponseSchema, {
            configuration: hasNewerConfiguration ? getSnapshot() : undefined,
            companionSet: hasNewerSet ? sidecarSet.getSet() : undefined,
            records: records.filter(record => record.role === ProcessRole.COMPANION),
        });
    }
}
