/*
 * Decides whether a request is admitted, and to which service it goes. An entry process whose routing document may be
 * outdated refuses with "not run" instead of "not allowed".
 */
import { BackendService, DocumentWorkspace, Route, RouteTable } from "../documents";
import { FeedState } from "../feed";
import { RefusalReason } from "../protocol";
import { RandomSource } from "../runtime";
import { Admission } from "./Admission";
import { ForwardedRequest } from "./ForwardedRequest";

/**
 * The retry delay for callers of an entry process without a current routing document: the time of a start and an
 * election together. Most callers retry only once, so too early is worse than too late.
 */
const staleRetryAfterMilliseconds = 2_000;

/**
 * Admits or refuses a request.
 * @param request - The request.
 * @param state - The routing document and its age, as received from control.
 * @param maximumDocumentAgeMilliseconds - The document's maximum age for requests that need a key, in milliseconds.
 * @param random - Distributes requests over the services of a route.
 */
export function admitRequest(
    request: ForwardedRequest,
    state: FeedState,
    maximumDocumentAgeMilliseconds: number,
    random: RandomSource,
): Admission {
    const table = state.getRouteTable();
    if (!table) {
        return refuseNotRun(RefusalReason.STALE_SETTINGS);
    }
    const isFresh = state.getDocumentAgeMilliseconds() <= maximumDocumentAgeMilliseconds;
    const route = table.getRoute(request.host, request.path);
    if (!route) {
        return isFresh ? deny(RefusalReason.NOT_FOUND) : refuseNotRun(RefusalReason.STALE_SETTINGS);
    }
    const needsKey = !route.isPublic && table.document.workspaces !== undefined;
    if (needsKey && !isFresh) {
        return refuseNotRun(RefusalReason.STALE_SETTINGS);
    }
    const workspace = request.apiKey === undefined ? undefined : table.getWorkspace(request.apiKey);
    if (needsKey && !workspace) {
        return deny(RefusalReason.INVALID_KEY);
    }
    return admitToService(table, route, workspace, random);
}

function admitToService(
    table: RouteTable,
    route: Route,
    workspace: DocumentWorkspace | undefined,
    random: RandomSource,
): Admission {
    const service = chooseService(table, route, random);
    if (!service || service.kind === "keptCache") {
        return refuseNotRun(RefusalReason.NO_REPLICA);
    }
    return { kind: "admitted", table, route, service, workspace, softwareVersion: undefined };
}

/**
 * Chooses one of the route's services at random, in proportion to their weights. Their shares of the largest weight are
 * added, as the sum of the weights may be too large for a number.
 */
function chooseService(table: RouteTable, route: Route, random: RandomSource): BackendService | undefined {
    const largestWeight = route.services.reduce((largest, { weight }) => Math.max(largest, weight), 0);
    const shares = route.services.map(({ service, weight }) => ({ service, share: weight / largestWeight }));
    let position = random.getFraction() * shares.reduce((total, { share }) => total + share, 0);
    // Rounding errors may leave some of the position behind the last service.
    const chosen = shares.find(({ share }) => (position -= share) < 0) ?? shares.findLast(({ share }) => share > 0);
    return chosen && table.getService(chosen.service);
}

function deny(reason: RefusalReason): Admission {
    return { kind: "refused", refusal: { kind: "denied", reason } };
}

function refuseNotRun(reason: RefusalReason): Admission {
    return {
        kind: "refused",
        refusal: { kind: "notRun", reason, retryAfterMilliseconds: staleRetryAfterMilliseconds },
    };
}
