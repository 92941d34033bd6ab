/*
 * The state of all rollouts, as operators see it.
 */

/** The answer to a rollouts query, in the form of JSON. */
export interface RolloutsResponse {
    /** The rollouts, by model's name. */
    rollouts: readonly {
        /** The model's name. */
        model: string;
        /** The weights version wanted. */
        version: string;
        /** The adapters wanted. */
        adapters: readonly string[];
        /** The configuration revision of the target, in decimal. */
        revision: string;
        /** `running`, `paused`, `done` or `failed`. */
        state: string;
        /** Who set the state. */
        author: string;
        /** Why the state was set. */
        reason: string;
        /** How many backend servers the capacity floor is counted against. */
        size: number;
        /** Whether the canary has passed. */
        hasCanaryPassed: boolean;
        /** How many steps have succeeded. */
        succeededSteps: number;
        /** How many steps have failed. */
        failedSteps: number;
        /** The steps on their way. */
        openSteps: readonly {
            /** The sidecar's instance id. */
            companion: string;
            /** `ordered`, `begun` or `observed`. */
            phase: string;
            /** The order's number, as `term/index`. */
            number: string;
        }[];
    }[];
}
