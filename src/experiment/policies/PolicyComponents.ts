/*
 * The parts by which policies differ.
 */
import { Placement } from "../../routing";
import { PrefixIndex, RequestScheduler } from "../../sidecar";

/** The parts of a policy. */
export interface PolicyComponents {
    /** Creates an entry's placement. */
    createPlacement(): Placement;
    /** Whether sidecars may refuse in favour of a sibling. */
    mayRedirect: boolean;
    /** Creates a sidecar's scheduler. */
    createScheduler(index: PrefixIndex | undefined): RequestScheduler;
    /** Creates a sidecar's index. */
    createIndex(): PrefixIndex;
}
