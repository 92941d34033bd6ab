/*
 * The subscriber for whom a request is made.
 */

/** A subscriber and the workspace that it belongs to. */
export interface Subscriber {
    /** The workspace's name. */
    workspace: string;
    /** The subscriber's path in the configuration tree: `/workspace/team/subscriber`. */
    path: string;
}
