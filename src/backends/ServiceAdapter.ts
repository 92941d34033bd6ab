/*
 * How a sidecar speaks with its plain service.
 */
import { ServiceWork } from "../protocol";
import { ServiceEvent } from "./ServiceEvent";

/** A plain service. */
export interface ServiceAdapter {
    /** Makes a call; the last event is `end` or `failed`. */
    call(requestId: string, work: ServiceWork, signal: AbortSignal): AsyncIterable<ServiceEvent>;
    /** Gets the service's incarnation; undefined where it does not answer. */
    getIncarnation(signal?: AbortSignal): Promise<string | undefined>;
}
