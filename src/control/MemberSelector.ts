/*
 * Selects the control member that a client calls.
 */

/** Selects the leader if its address is known, and otherwise one member after another. */
export interface MemberSelector {
    /** Gets the address to call. */
    getAddress(): string;
    /**
     * Sets the leader that a member has reported.
     * @param address - The leader's address; empty if the member doesn't know the leader.
     */
    setLeader(address: string): void;
    /** Clears the leader and selects the next member in the list. */
    selectNext(): void;
}
