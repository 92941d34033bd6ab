/*
 * The authority of a process whose configuration never changes.
 */
import { Authority } from "../../membership";

/**
 * Creates the authority of a process in an experiment, which has no control members; it is always valid.
 * @param revision - The revision of the configuration.
 */
export function createFixedAuthority(revision: bigint): Authority {
    return {
        isLeaseFresh: () => true,
        hasOwnAuthority: () => true,
        getRevision: () => revision,
        addSeenRevision: () => {},
        checkAuthority: () => Promise.resolve(true),
    };
}
