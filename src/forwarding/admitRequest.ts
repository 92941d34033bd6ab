/*
 * Decides whether a request may be sent on, and to which service. An entry that does not know the rules in force refuses
 * with "not run" in place of "not allowed".
 */
import { BackendService, DocumentWorkspace, Route, RouteTable } from "../documents";
import { FeedState } from "../feed";
import { RefusalReason } from "../protocol";
import { RandomSource } from "../runtime";
import { Admission } from "./Admission";
import { ForwardedRequest } from "./ForwardedRequest";

/**
 * When a caller should come back whose entry does not know the rules, in milliseconds: the time of a start and an election
 * together. Most callers come back once only, so that too early is worse than too late.
 */
const staleRetryAfterMilliseconds = 2_000;

/**
 * Admits or refuses a request.
 * @param request - The request.
 * @param state - What the entry knows from control.
 * @param maximumDocumentAgeMilliseconds - How old the entry's rules may be for requests that need a key, in milliseconds.
 * @param random - Divides requests between the services of a route.
 */
export function admitRequest(
    request: ForwardedRequest,
    state: FeedState,
    maximumDocumentAgeMilliseconds: number,
    random: RandomSource,
): Admission {
    const table = state.getTable();
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
    return { kind: "admitted", table, route, service, workspace };
}

/** Chooses a service by the weights of the route's services. */
function chooseService(table: RouteTable, route: Route, random: RandomSource): BackendService | undefined {
    const totalWeight = route.services.reduce((total, { weight }) => total + weight, 0);
    let position = random.getUnit() * totalWeight;
    const chosen = route.services.find(({ weight }) => (position -= weight) < 0);
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
