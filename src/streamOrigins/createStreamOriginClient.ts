/*
 * Calls the stores of control members over Connect RPC.
 */
import { createClient } from "@connectrpc/connect";
import { getErrorMessage } from "../errors";
import { PeerTransports, StreamOriginService } from "../protocol";
import { StreamOriginClient } from "./StreamOriginClient";
import { StreamOriginReply } from "./StreamOriginReply";

/**
 * Creates the client of an entry process.
 * @param transports - The connections to other processes.
 */
export function createStreamOriginClient(transports: PeerTransports): StreamOriginClient {
    return {
        record: (address, origins, timeoutMs) =>
            call(async () => {
                const { memberIncarnation } = await getClient(address).record({ origins: [...origins] }, { timeoutMs });
                return { kind: "recorded", memberIncarnation };
            }),
        find: (address, requestId, timeoutMs) =>
            call(async () => {
                const { origin } = await getClient(address).find({ requestId }, { timeoutMs });
                return origin ? { kind: "found", origin } : { kind: "notFound" };
            }),
    };

    function getClient(address: string) {
        return createClient(StreamOriginService, transports.getTransport(address));
    }
}

async function call(send: () => Promise<StreamOriginReply>): Promise<StreamOriginReply> {
    try {
        return await send();
    }
    catch (thrown) {
        return { kind: "failed", reason: getErrorMessage(thrown) };
    }
}
