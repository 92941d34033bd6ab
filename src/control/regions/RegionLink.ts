/*
 * The connection from the control group of one region to that of another; tests replace it with a fake network.
 */
import { ConfigurationChange, ConfigurationChangeResult } from "../../protocol";
import { RegionImport } from "./RegionImport";

/** A link to another region's control group; every call returns undefined if no response arrived. */
export interface RegionLink {
    /** The region of the other group. */
    readonly region: string;
    /**
     * Sends a change of this region's workspaces.
     * @param regionImport - The change.
     * @returns The newest revision of this region that the other group has imported.
     */
    sendImport(regionImport: RegionImport): Promise<bigint | undefined>;
    /**
     * Asks whether the other group accepts a spanning change; the group keeps it prepared until it is finished.
     * @param change - The change.
     */
    prepareChange(change: ConfigurationChange): Promise<ConfigurationChangeResult | undefined>;
    /**
     * Finishes a prepared change.
     * @param changeId - The change's identifier.
     * @param isCommitted - Whether the change is committed; otherwise it is aborted.
     */
    finishChange(changeId: string, isCommitted: boolean): Promise<boolean | undefined>;
}
