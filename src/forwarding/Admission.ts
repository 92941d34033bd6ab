/*
 * The result of checking a request against the routing document before anything is sent.
 */
import { BackendService, DocumentWorkspace, Route, RouteTable } from "../documents";
import { Refusal } from "./Refusal";

/** The outcome of admission: where an admitted request goes, or why it is refused. */
export type Admission =
    | {
        kind: "admitted";
        /** The routing document under which the request was admitted. */
        table: RouteTable;
        /** The route that matches the request. */
        route: Route;
        /** The service that was chosen among those of the route. */
        service: Exclude<BackendService, { kind: "keptCache"; }>;
        /** The workspace that holds the caller's key; undefined where no known key was given. */
        workspace: DocumentWorkspace | undefined;
        /** The software version that began the stream that the request resumes; undefined for all other requests. */
        softwareVersion: string | undefined;
    }
    | { kind: "refused"; refusal: Refusal; };
