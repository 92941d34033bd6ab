/*
 * The options for creating a configuration view.
 */
import { Metrics } from "../../metrics";

/** The options of a configuration view. */
export interface ConfigurationViewOptions {
    /** Where applied snapshots, applied deltas and stale updates are counted; nothing is counted if absent. */
    metrics?: Metrics;
}
