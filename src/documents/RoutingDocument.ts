/*
 * The whole configuration of an entry that forwards opaque requests.
 */
import { BackendService } from "./BackendService";
import { CallerLimits } from "./CallerLimits";
import { DocumentWorkspace } from "./DocumentWorkspace";
import { Route } from "./Route";

/** A routing document. */
export interface RoutingDocument {
    /** The document's version; the highest one is in force. */
    version: number;
    /** Where requests go. */
    routes: readonly Route[];
    /** What they go to. */
    services: readonly BackendService[];
    /** What callers may send. */
    limits: CallerLimits;
    /** The workspaces; undefined where requests need no key. */
    workspaces: readonly DocumentWorkspace[] | undefined;
}
