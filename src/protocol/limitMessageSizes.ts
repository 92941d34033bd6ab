/*
 * Gives every service its own bound on the size of messages.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { getServiceLimits } from "./getServiceLimits";

/**
 * Wraps a router so that the services added to it read messages up to their bounds only.
 * @param router - The router that receives the services.
 */
export function limitMessageSizes(router: ConnectRouter): ConnectRouter {
    const limitedRouter: ConnectRouter = {
        handlers: router.handlers,
        service: (service, implementation, options) => {
            const readMaxBytes = getServiceLimits(service).maximumMessageBytes;
            router.service(service, implementation, { readMaxBytes, ...options });
            return limitedRouter;
        },
        rpc: router.rpc,
    };
    return limitedRouter;
}
