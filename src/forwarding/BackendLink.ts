/*
 * The way to the backend servers, behind whatever protocol they speak.
 */
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { AttemptResult } from "./AttemptResult";
import { BackendAttempt } from "./BackendAttempt";

/** Sends attempts to backend servers. */
export interface BackendLink {
    /** Sends one attempt; resolves with the answer's head. */
    send(attempt: BackendAttempt): Promise<AttemptResult>;
    /** Asks a backend server for a sign of life, without a slot where it has such a call; tells whether one came. */
    probe(instance: FleetInstance, service: BackendService, signal: AbortSignal): Promise<boolean>;
}
