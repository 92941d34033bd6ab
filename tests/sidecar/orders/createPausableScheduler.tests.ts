import { expect } from "chai";
import { Priority } from "../../../src/protocol";
import { RequestScheduler, ScheduledRequest, ScheduleOutcome } from "../../../src/sidecar";
import { createPausableScheduler, PausableScheduler } from "../../../src/sidecar/orders";
import { createTestClock, TestClock } from "../../control/placement/createTestClock";

describe("createPausableScheduler", () => {
    const never = new AbortController().signal;
    const request: ScheduledRequest = {
        requestId: "r",
        workspace: "regie",
        subscriber: "/regie/a/b",
        workspaceShareWeight: 1,
        subscriberShareWeight: 1,
        priority: Priority.STANDARD,
        deadlineMilliseconds: 1_000,
        prefixHashes: [],
        promptTokens: 1,
        maximumOutputTokens: 1,
        mayRedirect: false,
        runAlone: false,
    } as ScheduledRequest;
    let clock: TestClock;
    let running: number;
    let scheduler: PausableScheduler;
    let resume: (() => void) | undefined;
    let isPaused: boolean | undefined;

    beforeEach(() => {
        clock = createTestClock();
        running = 1;
        resume = undefined;
        isPaused = undefined;
        const inner = {
            schedule: async () => ({ kind: "started" }) as ScheduleOutcome,
            getQueueLength: () => 0,
            getRunningCount: () => running,
            drain: () => undefined,
        } as RequestScheduler;
        scheduler = createPausableScheduler(inner, clock);
    });

    async function pause(milliseconds: number): Promise<void> {
        void scheduler.pause(1_000, never).then(outcome => {
            resume = outcome;
            isPaused = outcome !== undefined;
        });
        await clock.runUntil(() => false, clock.getMonotonicMilliseconds() + milliseconds);
    }

    async function getKind(): Promise<string> {
        return (await scheduler.schedule(request, never)).kind;
    }

    it("refuses new requests at once and waits for those in flight", async () => {
        await pause(100);
        expect([await getKind(), isPaused]).to.deep.equal(["refused", undefined]);
        running = 0;
        await clock.runUntil(() => isPaused === true, 200);
        expect([await getKind(), isPaused]).to.deep.equal(["refused", true]);
        resume!();
        resume!();
        expect(await getKind()).to.equal("started");
    });

    it("resumes admission if the requests in flight do not end in time", async () => {
        await pause(2_000);
        expect([await getKind(), isPaused]).to.deep.equal(["started", false]);
    });
});
