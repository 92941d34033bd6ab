/*
 * Where the leader's view of the fleet comes from.
 */
import { FleetView } from "../protocol";

/** The leader's view of the backend servers. */
export interface FleetSource {
    /** Gets the view's revision, which no other view of any leader has; empty where there is no view yet. */
    getRevision(): string;
    /** Gets the view as of now. */
    getView(): FleetView;
}
