import { expect } from "chai";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRequestQueue } from "../../src/requestQueue";
import { createManualClock } from "../support/createManualClock";

describe("createRequestQueue", () => {
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
        return { queue, events, add, passTurn };

        function add(name: string, callerMilliseconds?: number): AbortController {
            const caller = new AbortController();
            queue.add({
                callerMilliseconds,
                signal: caller.signal,
                start: () => events.push(`start ${name}`),
                refuse: retryAfterMilliseconds => events.push(`refuse ${name} ${Math.round(retryAfterMilliseconds)}`),
                drop: () => events.push(`drop ${name}`),
            });
            return caller;
        }

        /** Passes a turn of the event loop, after which the time has advanced. */
        async function passTurn(milliseconds = 1): Promise<void> {
            turns.splice(0).forEach(endTurn => endTurn());
            await clock.advance(milliseconds);
        }
    }

    it("starts a request only after a turn in which the end of its connection would have been read", async () => {
        const { add, events, passTurn } = createTrial();
        add("a");
        await passTurn();
        expect(events).to.deep.equal([]);
        await passTurn();
        expect(events).to.deep.equal(["start a"]);
    });

    it("drops a request whose caller leaves while it waits", async () => {
        const { add, events, passTurn, queue } = createTrial();
        const caller = add("a");
        await passTurn();
        caller.abort();
        await passTurn();
        expect([events, queue.getLength()]).to.deep.equal([["drop a"], 0]);
    });

    it("starts one request in each turn, in the order of arrival while none waits for long", async () => {
        const { add, events, passTurn } = createTrial();
        ["a", "b", "c"].forEach(name => add(name));
        await passTurn();
        const counts: number[] = [];
        for (let turn = 0; turn < 3; turn++) {
            await passTurn();
            counts.push(events.length);
        }
        expect([counts, events]).to.deep.equal([[1, 2, 3], ["start a", "start b", "start c"]]);
    });

    it("accepts the connections that wait before it starts requests", async () => {
        const { add, events, passTurn, queue } = createTrial();
        add("a");
        for (let turn = 0; turn < 10; turn++) {
            queue.recordConnection();
            await passTurn();
        }
        expect(events).to.deep.equal([]);
        await passTurn();
        expect(events).to.deep.equal(["start a"]);
    });

    it("starts requests now and then while connections arrive without end", async () => {
        const { add, events, passTurn, queue } = createTrial();
        ["a", "b", "c"].forEach(name => add(name));
        for (let turn = 0; turn < 90; turn++) {
            queue.recordConnection();
            await passTurn();
        }
        expect(events).to.deep.equal(["start a", "start b", "start c"]);
    });

    it("starts the latest request first once requests wait for long", async () => {
        const { add, events, passTurn } = createTrial();
        ["a", "b", "c"].forEach(name => add(name));
        await passTurn(120);
        add("d");
        for (let turn = 0; turn < 3; turn++) {
            await passTurn();
        }
        expect(events).to.deep.equal(["start c", "start d", "start b"]);
    });

    it("refuses a request that has waited for a third of its caller's time", async () => {
        const { add, events, passTurn } = createTrial();
        add("a", 300);
        await passTurn(101);
        await passTurn();
        expect(events).to.deep.equal(["refuse a 100"]);
    });

    it("names the time in which those that wait can be started, to those that it refuses", async () => {
        const { add, events, passTurn } = createTrial();
        for (let index = 0; index < 60; index++) {
            add(`patient-${index}`);
            if (index === 20) {
                add("impatient", 600);
            }
        }
        while (!events.some(event => event.startsWith("refuse"))) {
            await passTurn(20);
        }
        const refusal = events.find(event => event.startsWith("refuse"));
        const remainingCount = 60 - events.filter(event => event.startsWith("start")).length;
        expect(Number(refusal?.split(" ")[2])).to.be.within(remainingCount * 20 * 0.5, remainingCount * 20 * 1.5);
    });

    it("refuses the oldest request beyond its maximum length", () => {
        const { add, events, queue } = createTrial();
        for (let index = 0; index <= 1_024; index++) {
            add(String(index));
        }
        expect([events, queue.getLength()]).to.deep.equal([["refuse 0 100"], 1_024]);
    });

    // The load of the incident: more requests than the process can work on, whose callers leave after 250 ms.
    it("works only for callers that wait, and serves them in time, where more arrive than it can serve", async () => {
        const turnMilliseconds = 20;
        const patienceMilliseconds = 250;
        const { add, events, passTurn } = createTrial();
        const callers = new Map<string, { caller: AbortController; leavesAt: number; }>();
        const servedNames = new Set<string>();
        for (let nowMilliseconds = 0; nowMilliseconds < 10_000; nowMilliseconds += turnMilliseconds) {
            for (let index = 0; index < 3; index++) {
                const name = `${nowMilliseconds}-${index}`;
                callers.set(name, { caller: add(name, 3_000), leavesAt: nowMilliseconds + patienceMilliseconds });
            }
            for (const [name, { caller, leavesAt }] of callers) {
                if (leavesAt <= nowMilliseconds && !servedNames.has(name)) {
                    caller.abort();
                }
            }
            await passTurn(turnMilliseconds);
            for (const event of events.splice(0).filter(text => text.startsWith("start "))) {
                servedNames.add(event.slice("start ".length));
            }
        }
        const late = [...servedNames].filter(name => callers.get(name)!.caller.signal.aborted);
        expect(late).to.deep.equal([]);
        // One request can be started in each turn.
        expect(servedNames.size).to.be.at.least(0.95 * 10_000 / turnMilliseconds);
    });
});
