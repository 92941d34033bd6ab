/*
 * The interface between a sidecar and its plain service.
 */
import { ServiceWork } from "../protocol";
import { ServiceEvent } from "./ServiceEvent";

/** Sends calls to a plain service. */
export interface ServiceAdapter {
    /**
     * Makes a call.
     * @param requestId - The request's id, sent as a header.
     * @param work - The HTTP request to make.
     * @param signal - Cancels the call.
     * @returns The events of the response; the last is `end` or `failed`.
     */
    call(requestId: string, work: ServiceWork, signal: AbortSignal): AsyncIterable<ServiceEvent>;
    /**
     * Gets the service's incarnation.
     * @param signal - Cancels the call.
     * @returns The incarnation; undefined if the service does not respond.
     */
    getIncarnation(signal?: AbortSignal): Promise<string | undefined>;
}
