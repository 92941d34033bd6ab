/*
 * The time for which a leader asks members to refuse votes.
 */

/** Adapts the promise that members give a leader, and with it the leader's lease, to how fast they respond. */
export interface PromiseLength {
    /** Gets the promise to ask for, in milliseconds. */
    getMilliseconds(): number;
    /** Records how old the newest message is that a majority has acknowledged, in milliseconds. */
    recordContactAge(milliseconds: number): void;
    /** Records that a lease has ended since no majority responded in time. */
    recordLostLease(): void;
    /** Records the promise that another leader asked for, in milliseconds. */
    recordPromise(milliseconds: number): void;
}
