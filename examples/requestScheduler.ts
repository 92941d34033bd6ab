/*
 * The queue in front of one backend server. Requests wait until a running request ends; a request is refused, without
 * being run, if its deadline can't be met or the scheduler is draining.
 *
 * Run: npx tsx examples/requestScheduler.ts
 */
import { createRequestScheduler, createSystemClock, Priority, ScheduledRequest, ScheduleOutcome } from "../src";

const clock = createSystemClock();
const scheduler = createRequestScheduler({
    clock,
    maximumRunning: 1,
    maximumQueued: 10,
    prefillTokensPerSecond: 20_000,
    blockTokens: 4_096,
});

function createRequest(requestId: string): ScheduledRequest {
    return {
        requestId,
        workspace: "counter-staff",
        subscriber: "/counter-staff/desk/one",
        workspaceShareWeight: 1,
        subscriberShareWeight: 1,
        priority: Priority.INTERACTIVE,
        deadlineMilliseconds: clock.getMonotonicMilliseconds() + 60_000,
        prefixHashes: [],
        promptTokens: 100,
        maximumOutputTokens: 1,
        mayRedirect: false,
        runAlone: true,
    };
}

function schedule(requestId: string): Promise<ScheduleOutcome> {
    return scheduler.schedule(createRequest(requestId), new AbortController().signal);
}

async function run(): Promise<void> {
    const first = await schedule("first");
    const second = schedule("second");
    console.log(`running ${scheduler.getRunningCount()}, waiting ${scheduler.getQueueLength()}`);
    if (first.kind === "started") {
        first.slot.recordFirstToken();
        first.slot.release({ promptTokens: 100, cachedTokens: 0, completionTokens: 1 });
    }
    console.log(`second: ${(await second).kind}`);
    const third = schedule("third");
    scheduler.drain();
    console.log(`third, while draining: ${(await third).kind}`);
}

void run();
