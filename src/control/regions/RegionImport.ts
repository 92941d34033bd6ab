/*
 * A configuration change that the home region of its workspaces replicates to another region.
 */
import { ConfigurationOperation } from "../../protocol";

/** One accepted change of a home region, for replication into the log of another region's control group. */
export interface RegionImport {
    /** The home region, which accepted the change. */
    region: string;
    /** The number of changes that the home region has made to its own workspaces, including this one. */
    homeRevision: bigint;
    /** The operations on the levels that the change affected, with the complete settings of each level. */
    operations: readonly ConfigurationOperation[];
    /** Whether the operations contain all workspaces of the home region, as is needed after a gap. */
    isComplete: boolean;
}
