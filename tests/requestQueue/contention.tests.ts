import { expect } from "chai";
import { createRouteTable } from "../../src/documents";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRequestQueue, getRequestClass } from "../../src/requestQueue";
import { createRandomSource } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestWorkspaces } from "../documents/createTestWorkspaces";
import { createManualClock } from "../support/createManualClock";

describe("createRequestQueue, where requests are distinguished", () => {
    interface TestKind {
        workspace?: string;
        routePriority?: number;
        targetLatencyMilliseconds?: number;
        callerMilliseconds?: number;
    }

    function createTrial() {
        const clock = createManualClock();
        const turns: (() => void)[] = [];
        const events: string[] = [];
        const queue = createRequestQueue({
            waitForTurn: () => new Promise<void>(resolve => turns.push(resolve)),
            clock,
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        return { queue, clock, events, add, passTurn };

        function add(name: string, kind: TestKind = {}, onEnd = (event: string) => void events.push(event)): void {
            queue.add({
                ...getDemand(kind),
                signal: new AbortController().signal,
                start: () => onEnd(`start ${name}`),
                refuse: (...[, { reason }]) => onEnd(`refuse ${name} ${reason}`),
                drop: () => undefined,
            });
        }

        async function passTurn(milliseconds = 1): Promise<void> {
            turns.splice(0).forEach(endTurn => endTurn());
            await clock.advance(milliseconds);
        }
    }

    function getDemand(kind: TestKind) {
        const { workspace = "alpha", routePriority = 0, targetLatencyMilliseconds = 500, callerMilliseconds } = kind;
        const requestClass = { workspace, workspacePriority: 0, routePriority, targetLatencyMilliseconds };
        return { callerMilliseconds, requestClass };
    }

    /** Fills a queue that starts a request every 20 ms, until the oldest one has waited for 1 s. */
    async function createBusyTrial() {
        const trial = createTrial();
        for (let index = 0; index < 100; index++) {
            trial.add(`busy-${index}`, { workspace: "busy", routePriority: 1 });
        }
        for (let turn = 0; turn < 50; turn++) {
            await trial.passTurn(20);
        }
        trial.events.length = 0;
        return trial;
    }

    it("gives a workspace with few requests its share beside one with many", async () => {
        const { add, events, passTurn } = createTrial();
        ["a1", "a2", "a3", "a4", "a5"].forEach(name => add(name, { workspace: "alpha" }));
        ["b1", "b2"].forEach(name => add(name, { workspace: "beta" }));
        for (let turn = 0; turn < 8; turn++) {
            await passTurn();
        }
        expect(events.map(event => event.slice("start ".length))).to.deep.equal(
            ["a1", "b1", "a2", "b2", "a3", "a4", "a5"],
        );
    });

    it("starts the most urgent requests of a workspace first", async () => {
        const { add, events, passTurn } = createTrial();
        [2, 1, 0, 0].forEach((routePriority, index) => add(`${routePriority}-${index}`, { routePriority }));
        for (let turn = 0; turn < 5; turn++) {
            await passTurn();
        }
        expect(events).to.deep.equal(["start 0-2", "start 0-3", "start 1-1", "start 2-0"]);
    });

    it("refuses at arrival only the requests behind a queue that is too long, not others' nor more urgent ones", async () => {
        const { add, events, queue } = await createBusyTrial();
        add("behind", { workspace: "busy", routePriority: 1 });
        add("other", { workspace: "other", routePriority: 1 });
        add("urgent", { workspace: "busy", routePriority: 0 });
        expect(events).to.deep.equal(["refuse behind queueTooLong"]);
        expect(queue.getArrivalRefusal(getDemand({ workspace: "busy", routePriority: 1 }))).to.include({
            reason: "queueTooLong",
            isOverShare: true,
        });
    });

    it("spreads the returns of those that it refuses", async () => {
        const { queue } = await createBusyTrial();
        const delays = Array.from(
            { length: 100 },
            () => queue.getArrivalRefusal(getDemand({ workspace: "busy", routePriority: 1 }))!.retryAfterMilliseconds,
        );
        const tenths = new Set(delays.map(delay => Math.floor((delay - 100) / 100)));
        expect([tenths.size, Math.min(...delays) >= 100, Math.max(...delays) <= 1_100]).to.deep.equal([10, true, true]);
    });

    it("refuses nothing by estimate in a process that has just started", () => {
        const { add, events } = createTrial();
        for (let index = 0; index < 500; index++) {
            add(String(index), { targetLatencyMilliseconds: 1 });
        }
        expect(events).to.deep.equal([]);
    });

    it("refuses a request as soon as urgent ones keep it from being started in time", async () => {
        const { add, events, passTurn } = createTrial();
        add("late", { routePriority: 1, callerMilliseconds: 3_000 });
        for (let index = 0; index < 70; index++) {
            add(`urgent-${index}`);
        }
        let milliseconds = 0;
        for (; !events.some(event => event.startsWith("refuse")); milliseconds += 20) {
            await passTurn(20);
        }
        expect([events.includes("refuse late overtaken"), milliseconds < 500]).to.deep.equal([true, true]);
    });

    it("refuses at arrival what urgent requests keep from being started, although few of them wait", async () => {
        const { add, events, passTurn } = createTrial();
        for (let turn = 0; turn < 100; turn++) {
            ["a", "b"].forEach(name => add(`urgent-${name}`, { targetLatencyMilliseconds: 200 }));
            await passTurn(20);
        }
        events.length = 0;
        add("starved", { routePriority: 1, targetLatencyMilliseconds: 2_000 });
        expect(events).to.deep.equal(["refuse starved queueTooLong"]);
    });

    it("keeps a full queue for the workspaces that are not in excess", () => {
        const { add, events } = createTrial();
        add("other", { workspace: "other" });
        for (let index = 0; index < 1_024; index++) {
            add(String(index), { routePriority: index % 2 });
        }
        expect(events).to.deep.equal(["refuse 1023 queueFull"]);
    });

    // One workspace of 16 sends 9 times its usual requests to a process that can start 250 a second, of 200 usual ones.
    it("costs other workspaces less than 2% where one sends 9 times its usual requests", async () => {
        const quiet = await playWorkspaces(1);
        const excess = await playWorkspaces(9);
        expect(excess.othersPayoff).to.be.at.least(0.98 * quiet.othersPayoff);
        // The process has no starts to spare, and refuses those in excess at once. The less urgent ones of the first second
        // are admitted before it is known that urgent ones leave them no share.
        expect([quiet.refusals, excess.startShare > 0.95]).to.deep.equal([0, true]);
        expect(excess.lateRefusals).to.be.at.most(0.1 * excess.refusals);
    });

    async function playWorkspaces(factor: number) {
        const turnMilliseconds = 4;
        const serviceMilliseconds = 43;
        const random = createRandomSource(5);
        const { add, clock, passTurn } = createTrial();
        const kinds = [
            { routePriority: 0, targetLatencyMilliseconds: 200, callerMilliseconds: 2_600 },
            { routePriority: 0, targetLatencyMilliseconds: 500, callerMilliseconds: 3_000 },
            { routePriority: 2, targetLatencyMilliseconds: 2_000, callerMilliseconds: 15_000 },
        ];
        let othersPayoff = 0;
        let startCount = 0;
        let refusals = 0;
        let lateRefusals = 0;
        for (let turn = 0; turn < 2_500; turn++) {
            for (let index = 0; index < 16; index++) {
                const rate = (index === 0 ? factor : 1) * 12.5 * turnMilliseconds / 1_000;
                if (random.getFraction() < rate) {
                    send(index, kinds[random.getInteger(kinds.length)]!);
                }
            }
            await passTurn(turnMilliseconds);
        }
        return { refusals, othersPayoff, startShare: startCount / 2_500, lateRefusals };

        function send(index: number, kind: typeof kinds[number]): void {
            const sentMilliseconds = clock.getMonotonicMilliseconds();
            add("", { ...kind, workspace: `workspace-${index}` }, event => {
                const waitMilliseconds = clock.getMonotonicMilliseconds() - sentMilliseconds;
                const isStarted = event.startsWith("start");
                const isInTime = waitMilliseconds + serviceMilliseconds <= kind.targetLatencyMilliseconds;
                startCount += Number(isStarted);
                refusals += Number(!isStarted);
                lateRefusals += Number(!isStarted && waitMilliseconds > kind.targetLatencyMilliseconds / 8);
                othersPayoff += index > 0 && isStarted ? isInTime ? 1 : 0.3 : 0;
            });
        }
    }
});

describe("getRequestClass", () => {
    function doTest(
        workspaceNames: readonly string[],
        priorities: readonly number[],
        expected: object | undefined,
        hasQuotas = true,
    ) {
        const { routes, ...document } = createTestDocument();
        const table = createRouteTable({
            ...document,
            workspaces: createTestWorkspaces(workspaceNames, hasQuotas),
            routes: routes.map((route, index) => ({ ...route, priority: priorities[index % priorities.length]! })),
        });
        expect(getRequestClass(table, "one.example", "/labels/1", "alpha-key")).to.deep.equal(expected);
    }

    const common = { workspace: "alpha", workspacePriority: 0, targetLatencyMilliseconds: 500 };

    it("does not distinguish the requests of one workspace and one priority, which are served as before", () =>
        doTest(["alpha"], [3], undefined));

    it("does not distinguish requests under a document without quotas, which are served as before", () =>
        doTest(["alpha", "beta"], [0, 1], undefined, false));

    it("distinguishes several workspaces", () => doTest(["alpha", "beta"], [0], { ...common, routePriority: 0 }));

    it("distinguishes several priorities", () => doTest(["alpha"], [0, 1], { ...common, routePriority: 1 }));
});
