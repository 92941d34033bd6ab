/*
 * Limits the size of the messages that each service reads.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { getServiceLimits } from "./getServiceLimits";

/**
 * Wraps a router so that each service added to it refuses messages larger than the service's limit.
 * @param router - The router that the services are added to.
 * @returns The wrapping router.
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
