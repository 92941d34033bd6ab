/*
 * The whole configuration of an entry process that forwards opaque requests.
 */
import { BackendService } from "./BackendService";
import { CallerLimits } from "./CallerLimits";
import { DocumentWorkspace } from "./DocumentWorkspace";
import { Route } from "./Route";

/** A routing document. */
export interface RoutingDocument {
    /** The document's version; the highest version is in force. */
    version: number;
    /** The routes, by which requests are assigned to services. */
    routes: readonly Route[];
    /** The services. */
    services: readonly BackendService[];
    /** The limits on callers' requests and connections. */
    limits: CallerLimits;
    /** The workspaces; undefined if requests need no API key. */
    workspaces: readonly DocumentWorkspace[] | undefined;
}
