/*
 * The connection to the backend servers, independent of the protocol that they speak.
 */
import { InstanceState } from "../crashQuarantine";
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { AttemptResult } from "./AttemptResult";
import { BackendAttempt } from "./BackendAttempt";

/** Sends attempts to backend servers. */
export interface BackendLink {
    /** Sends one attempt; resolves with the head of the response. */
    send(attempt: BackendAttempt): Promise<AttemptResult>;
    /**
     * Asks a backend server whether it still serves at its address, by a call that occupies no slot where the service
     * offers one. It is also the liveness probe.
     * @param instance - The backend server.
     * @param service - The service that it belongs to.
     * @param signal - Ends the call.
     */
    checkInstance(instance: FleetInstance, service: BackendService, signal: AbortSignal): Promise<InstanceState>;
}
