/*
 * The entry process's handling of opaque requests.
 */
import { CallerReply } from "./CallerReply";
import { ForwardedRequest } from "./ForwardedRequest";

/** Forwards requests to backend servers. */
export interface Forwarder {
    /** Handles a request; resolves once its response is sent or aborted, or its caller has disconnected. */
    forward(request: ForwardedRequest, reply: CallerReply): Promise<void>;
    /** Gets the number of requests that are being handled. */
    getActiveCount(): number;
    /** Reports the load that this entry process has caused to the others, as a fact that is sent with the next poll. */
    reportLoads(): void;
}
