/*
 * What is decided of a request before anything is sent.
 */
import { BackendService, DocumentWorkspace, Route, RouteTable } from "../documents";
import { Refusal } from "./Refusal";

/** The outcome of admission. */
export type Admission =
    | {
        kind: "admitted";
        table: RouteTable;
        route: Route;
        service: Exclude<BackendService, { kind: "keptCache"; }>;
        workspace: DocumentWorkspace | undefined;
    }
    | { kind: "refused"; refusal: Refusal; };
