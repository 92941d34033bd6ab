/*
 * The JSON form of the response to a rollouts query.
 */

/** The state of all rollouts, as the operator interface returns it. */
export interface RolloutsResponse {
    /** The rollouts, in the order of the model names. */
    rollouts: readonly {
        /** The name of the model. */
        model: string;
        /** The desired weights version. */
        version: string;
        /** The desired adapters. */
        adapters: readonly string[];
        /** The configuration revision of the target, as decimal text. */
        revision: string;
        /** `running`, `paused`, `done` or `failed`. */
        state: string;
        /** Who set the state. */
        author: string;
        /** Why the state was set. */
        reason: string;
        /** The number of backend servers that the capacity floor is a share of. */
        size: number;
        /** Whether the canary has passed. */
        hasCanaryPassed: boolean;
        /** How many steps have succeeded. */
        succeededSteps: number;
        /** How many steps have failed. */
        failedSteps: number;
        /** The steps that have not ended. */
        openSteps: readonly {
            /** The instance id of the sidecar. */
            companion: string;
            /** `ordered`, `begun` or `observed`. */
            phase: string;
            /** The fencing token of the order, as `term/index`. */
            number: string;
        }[];
    }[];
}
