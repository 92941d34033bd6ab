import { expect } from "chai";
import { Priority } from "../../../src/protocol";
import { RequestScheduler, ScheduledRequest, ScheduleOutcome } from "../../../src/sidecar";
import { createHoldableScheduler, HoldableScheduler } from "../../../src/sidecar/orders";
import { createTestClock, TestClock } from "../../control/placement/createTestClock";

describe("createHoldableScheduler", () => {
    const never = new AbortController().signal;
    const request: ScheduledRequest = {
        requestId: "r",
        workspace: "regie",
        subscriber: "/regie/a/b",
        workspaceShareWeight: 1,
        subscriberShareWeight: 1,
        priority: Priority.STANDARD,
        deadlineMilliseconds: 1_000,
        hashes: [],
        promptTokens: 1,
        maximumTokens: 1,
        mayRedirect: false,
        runAlone: false,
    } as ScheduledRequest;
    let clock: TestClock;
    let running: number;
    let scheduler: HoldableScheduler;
    let release: (() => void) | undefined;
    let isHeld: boolean | undefined;

    beforeEach(() => {
        clock = createTestClock();
        running = 1;
        release = undefined;
        isHeld = undefined;
        const inner = {
            schedule: async () => ({ kind: "started" }) as ScheduleOutcome,
            getQueueLength: () => 0,
            getRunningCount: () => running,
            drain: () => undefined,
        } as RequestScheduler;
        scheduler = createHoldableScheduler(inner, clock);
    });

    async function hold(milliseconds: number): Promise<void> {
        void scheduler.hold(1_000, never).then(outcome => {
            release = outcome;
            isHeld = outcome !== undefined;
        });
        await clock.runUntil(() => false, clock.getMonotonicMilliseconds() + milliseconds);
    }

    async function getKind(): Promise<string> {
        return (await scheduler.schedule(request, never)).kind;
    }

    it("refuses new work at once and waits for the work in flight", async () => {
        await hold(100);
        expect([await getKind(), isHeld]).to.deep.equal(["refused", undefined]);
        running = 0;
        await clock.runUntil(() => isHeld === true, 200);
        expect([await getKind(), isHeld]).to.deep.equal(["refused", true]);
        release!();
        release!();
        expect(await getKind()).to.equal("started");
    });

    it("takes work again where the work in flight does not end", async () => {
        await hold(2_000);
        expect([await getKind(), isHeld]).to.deep.equal(["started", false]);
    });
});
