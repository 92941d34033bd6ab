/*
 * A routing document, indexed for lookups on the path of requests.
 */
import { BackendService } from "./BackendService";
import { DocumentWorkspace } from "./DocumentWorkspace";
import { Route } from "./Route";
import { RoutingDocument } from "./RoutingDocument";

/** Finds routes, services and workspaces. */
export interface RouteTable {
    /** The document behind it. */
    readonly document: RoutingDocument;
    /** Gets the route of a request: of its host's routes the one with the longest matching prefix. */
    getRoute(host: string, path: string): Route | undefined;
    /** Gets a service by its name. */
    getService(name: string): BackendService | undefined;
    /** Gets the workspace that holds a key. */
    getWorkspace(apiKey: string): DocumentWorkspace | undefined;
    /** Gets the stores of kept KV cache. */
    getKvCacheStores(): readonly Extract<BackendService, { kind: "keptCache"; }>[];
}
