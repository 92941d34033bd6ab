/*
 * The RPC service through which entry processes use a control member's store.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { StreamOriginService } from "../protocol";
import { StreamOriginStore } from "./StreamOriginStore";

/**
 * Adds the service to a router.
 * @param router - The router of the internal server.
 * @param store - The member's store.
 * @param memberIncarnation - Differs after each start of the member.
 */
export function addStreamOriginService(
    router: ConnectRouter,
    store: StreamOriginStore,
    memberIncarnation: string,
): void {
    router.service(StreamOriginService, {
        record: ({ origins }) => {
            origins.forEach(origin => store.add(origin));
            return { memberIncarnation };
        },
        find: ({ requestId }) => ({ origin: store.get(requestId) }),
    });
}
