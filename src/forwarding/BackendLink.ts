/*
 * The way to the backend servers, behind whatever protocol they speak.
 */
import { BackendAnswer } from "./BackendAnswer";
import { BackendAttempt } from "./BackendAttempt";

/** Sends attempts to backend servers. */
export interface BackendLink {
    /** Sends one attempt; resolves with the answer's head. */
    send(attempt: BackendAttempt): Promise<BackendAnswer>;
}
