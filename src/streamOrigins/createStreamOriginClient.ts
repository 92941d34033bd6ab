/*
 * Calls the stores of control members over Connect RPC.
 */
import { createClient } from "@connectrpc/connect";
import { getErrorMessage } from "../errors";
import { PeerTransports, StreamOrigin, StreamOriginService } from "../protocol";
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
                await getClient(address).record({ origins: [...origins] }, { timeoutMs });
                return undefined;
            }),
        find: (address, requestId, timeoutMs) =>
            call(async () => (await getClient(address).find({ requestId }, { timeoutMs })).origin),
    };

    function getClient(address: string) {
        return createClient(StreamOriginService, transports.getTransport(address));
    }
}

async function call(send: () => Promise<StreamOrigin | undefined>): Promise<StreamOriginReply> {
    try {
        return { kind: "answered", origin: await send() };
    }
    catch (thrown) {
        return { kind: "failed", reason: getErrorMessage(thrown) };
    }
}
