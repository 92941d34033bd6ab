/*
 * The components of a deployment that depend on the policy.
 */
import { Placement } from "../../routing";
import { PrefixIndex, RequestScheduler } from "../../sidecar";

/** The components of a policy. */
export interface PolicyComponents {
    /** Creates the placement of one entry. */
    createPlacement(): Placement;
    /** Whether a sidecar may refuse a request in favour of another engine. */
    mayRedirect: boolean;
    /**
     * Creates the scheduler of one sidecar.
     * @param index - The prefix index of the sidecar's engine; undefined for a service.
     */
    createScheduler(index: PrefixIndex | undefined): RequestScheduler;
    /** Creates the prefix index of one sidecar. */
    createIndex(): PrefixIndex;
}
