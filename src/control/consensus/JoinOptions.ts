/*
 * The options for joining or starting a group.
 */

/** The addresses at which a member outside its group asks to join. */
export interface JoinOptions {
    /** The addresses of the group's members, possibly with the member's own; a function where they change. */
    addresses: readonly string[] | (() => readonly string[]);
    /**
     * Whether the member may start a new group. It does so once all other addresses have responded that they belong to
     * no group, and no member with a lower address may start one.
     */
    startsGroup: boolean;
}
