/*
 * The entry's handling of opaque requests.
 */
import { CallerReply } from "./CallerReply";
import { ForwardedRequest } from "./ForwardedRequest";

/** Forwards requests. */
export interface Forwarder {
    /** Handles a request until its answer is sent or given up. */
    forward(request: ForwardedRequest, reply: CallerReply): Promise<void>;
    /** Gets how many requests are being handled. */
    getActiveCount(): number;
}
