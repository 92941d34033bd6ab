/*
 * Provides the leader's view of the fleet to the feed.
 */
import { FleetView } from "../protocol";

/** The leader's view of the backend servers. */
export interface FleetSource {
    /** Gets the view's revision, which is unique among the views of all leaders; empty if there is no view yet. */
    getRevision(): string;
    /** Gets the current view, with the ages of the named weights as of now. */
    getView(): FleetView;
}
