/*
 * Decides whether a sidecar accepts work from a process whose configuration may be older than its own.
 */
import { Authority } from "./Authority";

/**
 * Decides, at a sidecar, whether work that another process admitted may run. If it may not, nothing has run, and the
 * refusal carries the sidecar's revision.
 * @param authority - The sidecar's own authority.
 * @param senderRevision - The revision under which the work was admitted.
 * @param hasSenderAuthority - Whether the sender had authority of its own, as sent with the dispatch.
 */
export function isDispatchAllowed(authority: Authority, senderRevision: bigint, hasSenderAuthority: boolean): boolean {
    if (senderRevision < authority.getRevision()) {
        return false;
    }
    authority.addSeenRevision(senderRevision);
    return hasSenderAuthority || authority.isLeaseFresh();
}
