/*
 * The delay between repeated orders to the same sidecar.
 */

/** Delays the repetition of an order to a sidecar, with a delay that grows with each attempt. */
export interface StepBackoff {
    /**
     * Records that a step with an order has been opened for a sidecar.
     * @param sidecar - The instance id of the sidecar.
     * @param order - Text that is equal for equal orders.
     */
    recordAttempt(sidecar: string, order: string): void;
    /** Discards the attempts of a sidecar that has reached its target. */
    reset(sidecar: string): void;
    /** Returns whether the delay since the last attempt at an order has not passed yet. */
    isBackingOff(sidecar: string, order: string): boolean;
}
