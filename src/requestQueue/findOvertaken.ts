/*
 * Finds the requests that can't be started in time any more, since more urgent ones have come or fewer are started than
 * at their arrival.
 */
import { getMaximumWait } from "./getMaximumWait";
import { getPriority } from "./getPriority";
import { getWorkspace } from "./getWorkspace";
import { WaitingRequest } from "./WaitingRequest";

/** A request with its estimated wait from now to its start. */
interface OvertakenRequest {
    item: WaitingRequest;
    estimatedMilliseconds: number;
}

/**
 * Finds the distinguished requests whose wait will exceed their maximum. Those behind them in their workspace are not found
 * where they can be started in time without them.
 * @param waiting - The requests that wait, in the order of arrival.
 * @param nowMilliseconds - The time, on the monotonic clock.
 * @param intervalMilliseconds - The interval between starts.
 */
export function findOvertaken(
    waiting: readonly WaitingRequest[],
    nowMilliseconds: number,
    intervalMilliseconds: number,
): readonly OvertakenRequest[] {
    const groups = new Map<string, WaitingRequest[]>();
    for (const item of waiting) {
        const workspace = getWorkspace(item.request);
        const items = groups.get(workspace) ?? [];
        items.push(item);
        groups.set(workspace, items);
    }
    const totals = new Map([...groups].map(([workspace, items]) => [workspace, getWork(items)]));
    return [...groups].flatMap(([workspace, items]) => {
        const overtaken: OvertakenRequest[] = [];
        let ownWork = 0;
        for (const item of items.toSorted((left, right) => getPriority(left.request) - getPriority(right.request))) {
            const { request, addedMilliseconds } = item;
            const work = request.work ?? 1;
            const estimatedMilliseconds = intervalMilliseconds * (ownWork + getOthersWork(workspace, ownWork + work));
            const waitMilliseconds = nowMilliseconds - addedMilliseconds + estimatedMilliseconds;
            if (request.requestClass && waitMilliseconds > getMaximumWait(request)) {
                overtaken.push({ item, estimatedMilliseconds });
            }
            else {
                ownWork += work;
            }
        }
        totals.set(workspace, ownWork);
        return overtaken;
    });

    /** Gets what the other workspaces start meanwhile: no more than their equal shares. */
    function getOthersWork(workspace: string, share: number): number {
        let sum = 0;
        for (const [other, work] of totals) {
            sum += other === workspace ? 0 : Math.min(work, share);
        }
        return sum;
    }
}

function getWork(items: readonly WaitingRequest[]): number {
    return items.reduce((sum, { request: { work = 1 } }) => sum + work, 0);
}
