/*
 * Which control member a client turns to.
 */

/** Remembers the leader. */
export interface MemberSelector {
    /** Gets the address to turn to. */
    getAddress(): string;
    /** Remembers the leader that a member has named; empty where it knows none. */
    setLeader(address: string): void;
    /** Turns to another member next. */
    selectNext(): void;
}
