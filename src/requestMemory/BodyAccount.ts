/*
 * The share of one body in the memory for bodies.
 */

/** The account of a body. */
export interface BodyAccount {
    /**
     * Reserves memory in place of what is reserved.
     * @param bytes - All bytes that the body may fill then.
     * @returns Whether it is reserved; otherwise the body waits for it, and is granted it or refused later.
     */
    reserve(bytes: number): boolean;
    /**
     * Records bytes that have arrived while the body waits.
     * @param bytes - Their number.
     * @param requestedBytes - What the body waits for from now on: at least all that has arrived.
     * @returns Whether there is room for them; if not, the body is refused.
     */
    addExcess(bytes: number, requestedBytes: number): boolean;
    /** Records that bytes have arrived. */
    recordArrival(bytes: number): void;
    /** Records that all of the body has arrived; it occupies these bytes until the account is closed. */
    complete(bytes: number): void;
    /** Frees the memory. */
    close(): void;
}
