/*
 * How a member finds its group.
 */

/** Where a member without a group looks for one. */
export interface JoinOptions {
    /** The addresses of the group's members; the member's own may be among them. A function where they change. */
    addresses: readonly string[] | (() => readonly string[]);
    /**
     * Whether the member may start a new group: it does once all addresses have answered that they belong to none, and
     * no member with a lower address may start one too.
     */
    startsGroup: boolean;
}
