/*
 * The inputs of a route search.
 */
import { ProcessRecord } from "../protocol";
import { Placement } from "./Placement";
import { PlacementRequest } from "./PlacementRequest";

/** The options of a route search. */
export interface RouteSearchOptions {
    /** Ranks the candidates. */
    placement: Placement;
    /** The request to place. */
    request: PlacementRequest;
    /** The records of the sidecars that could run the request. */
    candidates: readonly ProcessRecord[];
    /** Whether sidecars may refuse the request in favour of a sibling; true where absent. */
    mayRedirect?: boolean;
}
