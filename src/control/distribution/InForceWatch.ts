/*
 * The leader's waiting for configuration revisions to come into force.
 */
import { Stoppable } from "../../runtime";
import { InForceCheck } from "./InForceCheck";

/** Measures when the newest revision comes into force, and lets callers wait for a revision. */
export interface InForceWatch extends Stoppable {
    /**
     * Waits until a revision is in force.
     * @param revision - The configuration revision.
     * @param milliseconds - The maximum wait.
     * @returns The last check; pending if the wait was too short.
     */
    wait(revision: bigint, milliseconds: number): Promise<InForceCheck>;
    /** Checks again, after an acknowledgement or another change. */
    wake(): void;
}
