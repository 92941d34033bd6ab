/*
 * What is decided of a request before anything is sent.
 */
import { BackendService, Route, RouteTable, WorkspaceEntry } from "../documents";
import { Refusal } from "./Refusal";

/** The outcome of admission. */
export type Admission =
    | {
        kind: "admitted";
        table: RouteTable;
        route: Route;
        service: Exclude<BackendService, { kind: "keptCache"; }>;
        workspace: WorkspaceEntry | undefined;
    }
    | { kind: "refused"; refusal: Refusal; };
