/*
 * A queue that shares one backend server among workspaces. A workspace with many requests does not delay one with few, and
 * a workspace with a weight of 2 gets twice the share.
 *
 * Run: npx tsx examples/fairQueue.ts
 */
import { createFairQueue, FairQueueItem, Lane } from "../src";

interface NamedItem extends FairQueueItem {
    name: string;
}

const queue = createFairQueue<NamedItem>();
const costMilliseconds = 100;
const takenCount = 15;

/** Adds a number of equal requests of one workspace. */
function addItems(workspace: string, weight: number, count: number): void {
    for (let index = 0; index < count; index++) {
        queue.addItem({
            name: `${workspace} ${index}`,
            workspace,
            subscriber: `/${workspace}/team/someone`,
            workspaceShareWeight: weight,
            subscriberShareWeight: 1,
            lane: Lane.Short,
            chargeMilliseconds: costMilliseconds,
            weightedChargeMilliseconds: costMilliseconds,
            arrivalMilliseconds: index,
        });
    }
}

addItems("heavy", 1, 100);
addItems("double", 2, 100);
addItems("light", 1, 2);
const takenItems = [...Array(takenCount)].map(() => queue.takeNextItem(Lane.Short)!);
for (const workspace of ["heavy", "double", "light"]) {
    console.log(
        `${workspace}: ${takenItems.filter(item => item.workspace === workspace).length} of the first ${takenCount}`,
    );
}
