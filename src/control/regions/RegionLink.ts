/*
 * How the control group of one region speaks with that of another; a network fake stands here in tests.
 */
import { ConfigurationChange, ConfigurationChangeResult } from "../../protocol";
import { RegionImport } from "./RegionImport";

/** A link to one other region's group; undefined where no answer came. */
export interface RegionLink {
    /** The other region. */
    readonly region: string;
    /** Hands a change of this region's workspaces over; answers how far they are there. */
    sendImport(regionImport: RegionImport): Promise<bigint | undefined>;
    /** Asks whether the other group accepts a spanning change; it holds the change until it is told the end. */
    prepareChange(change: ConfigurationChange): Promise<ConfigurationChangeResult | undefined>;
    /** Tells the end of a prepared change: whether it is made or withdrawn. */
    finishChange(changeId: string, isCommitted: boolean): Promise<boolean | undefined>;
}
