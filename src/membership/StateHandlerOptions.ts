/*
 * What a companion's answers about its state are made from.
 */
import { ConfigurationSnapshot } from "../protocol";
import { Authority } from "./Authority";
import { Directory } from "./Directory";
import { ProcessLease } from "./ProcessLease";
import { SidecarSetView } from "./SidecarSetView";
import { VouchPromises } from "./VouchPromises";

/** The options of a companion's answers. */
export interface StateHandlerOptions {
    /** The companion's instance id. */
    instanceId: string;
    /** The companion's authority. */
    authority: Authority;
    /** The companion's lease. */
    lease: ProcessLease;
    /** The companions whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** The companion's directory. */
    directory: Directory;
    /** What the companion has promised. */
    promises: VouchPromises;
    /** Gets the configuration held. */
    getSnapshot: () => ConfigurationSnapshot;
}
