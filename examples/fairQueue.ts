/*
 * A queue that shares one backend server among workspaces: a workspace that asks for much does not hold up one that
 * asks for little, and a weight of 2 gets twice the share. Run: npx tsx examples/fairQueue.ts
 */
import { createFairQueue, FairQueueItem, Lane } from "../src";

interface Item extends FairQueueItem {
    name: string;
}

const queue = createFairQueue<Item>();
const costMilliseconds = 100;
const takenFirst = 15;

function add(workspace: string, weight: number, count: number): void {
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

add("heavy", 1, 100);
add("double", 2, 100);
add("light", 1, 2);
const taken = [...Array(takenFirst)].map(() => queue.takeNextItem(Lane.Short)!);
for (const workspace of ["heavy", "double", "light"]) {
    console.log(
        `${workspace}: ${taken.filter(item => item.workspace === workspace).length} of the first ${takenFirst}`,
    );
}
