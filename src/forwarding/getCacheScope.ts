/*
 * The scope within which a request's cached parts are shared.
 */
import { FeedState } from "../feed";
import { ForwardingTask } from "./ForwardingTask";

/**
 * Gets the scope by the document in force, which may isolate a workspace whose request was admitted under an earlier one.
 * @param task - The request.
 * @param state - Provides the document in force.
 */
export function getCacheScope(
    { admission: { table, workspace } }: ForwardingTask,
    state: Pick<FeedState, "getRouteTable">,
): string {
    return (state.getRouteTable() ?? table).getCacheScope(workspace?.name);
}
