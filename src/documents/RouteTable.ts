/*
 * A routing document, indexed for the lookups that each request needs.
 */
import { BackendService } from "./BackendService";
import { DocumentWorkspace } from "./DocumentWorkspace";
import { Route } from "./Route";
import { RoutingDocument } from "./RoutingDocument";

/** Finds routes, services and workspaces. */
export interface RouteTable {
    /** The document that the table was created from. */
    readonly document: RoutingDocument;
    /**
     * Gets the route of a request: the one of its host with the longest matching path prefix.
     * @param host - The request's host, in any case.
     * @param path - The request's path, which begins with a slash.
     */
    getRoute(host: string, path: string): Route | undefined;
    /** Gets a service by its name. */
    getService(name: string): BackendService | undefined;
    /** Gets the workspace to which an API key belongs. */
    getWorkspace(apiKey: string): DocumentWorkspace | undefined;
    /**
     * Gets the scope within which the cached parts of a workspace's prompts are shared.
     * @param workspaceName - The workspace's name; undefined for requests without an API key.
     */
    getCacheScope(workspaceName: string | undefined): string;
    /** Gets the KV cache stores. */
    getKvCacheStores(): readonly Extract<BackendService, { kind: "keptCache"; }>[];
}
