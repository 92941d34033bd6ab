import { expect } from "chai";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRequestMemory } from "../../src/requestMemory";
import { createManualClock } from "../support/createManualClock";

describe("createRequestMemory", () => {
    const kilobyte = 1_024;

    /** A body's name with what it does, or a wait in milliseconds. */
    type Step =
        | readonly [name: string, action: "reserve" | "arrive" | "complete", bytes: number]
        | readonly [name: string, action: "excess", bytes: number, requestedBytes: number]
        | readonly [name: string, action: "close"]
        | readonly ["refusedConnections" | "wait", number];

    /** Plays steps under a limit of 1,024 KB, and checks what the bodies are told and what they occupy at the end. */
    async function doTest(steps: readonly Step[], expected: readonly string[], expectedBytes: number) {
        const clock = createManualClock();
        const memory = createRequestMemory({
            getMaximumBytes: () => 1_024 * kilobyte,
            pollConnections: () => Promise.resolve(),
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        const notices: string[] = [];
        const accounts = new Map<string, ReturnType<typeof memory.open>>();
        const addNotice = (notice: string) => void notices.push(notice);
        for (const step of steps) {
            if (step[0] === "wait") {
                await clock.advance(step[1] as number);
                continue;
            }
            if (step[0] === "refusedConnections") {
                for (let index = 0; index < Number(step[1]); index++) {
                    memory.relieveConnections();
                }
                continue;
            }
            const [name, action, bytes = 0, requestedBytes = 0] = step as readonly [string, string, number?, number?];
            const account = accounts.get(name) ?? memory.open({
                grant: () => addNotice(`${name} granted`),
                refuse: reason => addNotice(`${name} ${reason}`),
            });
            accounts.set(name, account);
            switch (action) {
                case "reserve":
                    addNotice(`${name} ${account.reserve(bytes * kilobyte) ? "reserved" : "waits"}`);
                    break;
                case "excess":
                    account.addExcess(bytes * kilobyte, requestedBytes * kilobyte);
                    break;
                case "arrive":
                    account.recordArrival(bytes * kilobyte);
                    break;
                case "complete":
                    account.complete(bytes * kilobyte);
                    break;
                default:
                    account.close();
            }
        }
        expect(notices).to.deep.equal(expected);
        expect(memory.getBytes()).to.equal(expectedBytes * kilobyte);
    }

    it("lets large bodies reserve three quarters, and small ones the rest", () =>
        doTest(
            [["a", "reserve", 768], ["b", "reserve", 65], ["c", "reserve", 64]],
            ["a reserved", "b waits", "c reserved"],
            832,
        ));
    it("grants what a body waits for once another one has ended", () =>
        doTest(
            [["a", "reserve", 768], ["b", "reserve", 500], ["a", "close"]],
            ["a reserved", "b waits", "b granted"],
            500,
        ));
    it("grants in the order of arrival, so that small requests don't starve a large one", () =>
        doTest(
            [["a", "reserve", 700], ["b", "reserve", 700], ["c", "reserve", 100], ["a", "close"]],
            ["a reserved", "b waits", "c waits", "b granted"],
            700,
        ));
    it("keeps what a complete body occupies until its response has ended", () =>
        doTest([["a", "reserve", 700], ["a", "complete", 300], ["wait", 120_000]], ["a reserved"], 300));
    it("refuses a body without progress where another one waits", () =>
        doTest(
            [["a", "reserve", 768], ["a", "arrive", 700], ["wait", 400], ["b", "reserve", 500], ["wait", 600]],
            ["a reserved", "b waits", "b granted", "a overloaded"],
            500,
        ));
    it("takes a byte now and then for no progress where another one waits", () =>
        doTest(
            [
                ["a", "reserve", 768],
                ["b", "reserve", 500],
                ["wait", 250],
                ["a", "arrive", 0.001],
                ["wait", 250],
                ["a", "arrive", 0.001],
                ["wait", 250],
            ],
            ["a reserved", "b waits", "b granted", "a overloaded"],
            500,
        ));
    it("keeps a body without progress for many seconds where none waits", () =>
        doTest([["a", "reserve", 768], ["wait", 59_000]], ["a reserved"], 768));
    it("refuses a body of which nothing has arrived for a minute", () =>
        doTest([["a", "reserve", 768], ["wait", 61_000]], ["a reserved", "a timedOut"], 0));
    it("refuses a body that has waited too long for others that make progress", () =>
        doTest(
            [
                ["a", "reserve", 768],
                ["b", "reserve", 500],
                ...Array.from({ length: 10 }, (): Step[] => [["a", "arrive", 2], ["wait", 250]]).flat(),
            ],
            ["a reserved", "b waits", "b overloaded"],
            768,
        ));
    it("refuses as many bodies without progress as connections were refused", () =>
        doTest(
            [
                ["a", "reserve", 10],
                ["wait", 300],
                ["b", "reserve", 10],
                ["wait", 300],
                ["c", "reserve", 10],
                ["wait", 450],
                ["refusedConnections", 2],
                ["wait", 250],
            ],
            ["a reserved", "b reserved", "c reserved", "a overloaded", "b overloaded"],
            10,
        ));
    // It would wait in vain, and its caller could try another entry process meanwhile.
    it("refuses a body at once where responses that take long keep the memory", () =>
        doTest(
            [["a", "reserve", 700], ["a", "complete", 700], ["wait", 600], ["b", "reserve", 500]],
            ["a reserved", "b overloaded", "b waits"],
            700,
        ));
    it("takes a small part of a large body for no progress where another one waits", () =>
        doTest(
            [
                ["a", "reserve", 768],
                ["b", "reserve", 500],
                ["wait", 250],
                ["a", "arrive", 1],
                ["wait", 250],
                ["a", "arrive", 0.4],
                ["wait", 250],
            ],
            ["a reserved", "b waits", "b granted", "a overloaded"],
            500,
        ));
    // An honest client that pauses would be refused in vain.
    it("keeps bodies without progress that occupy nothing", () =>
        doTest(
            [
                ["a", "reserve", 768],
                ["a", "complete", 768],
                ["b", "arrive", 0],
                ["c", "reserve", 500],
                ["wait", 1_000],
                [
                    "b",
                    "reserve",
                    10,
                ],
            ],
            ["a reserved", "c waits", "b reserved"],
            778,
        ));
    it("keeps bodies without progress whose memory would not suffice for the one that waits", () =>
        doTest(
            [["a", "reserve", 600], ["a", "complete", 600], ["b", "reserve", 100], ["c", "reserve", 500], [
                "wait",
                1_000,
            ]],
            ["a reserved", "b reserved", "c waits"],
            700,
        ));
    it("refuses large bodies without progress first, and no more of them than the one that waits needs", () =>
        doTest(
            [
                ["small", "reserve", 10],
                ["wait", 150],
                ["a", "reserve", 300],
                ["wait", 150],
                ["b", "reserve", 300],
                ["wait", 200],
                ["c", "reserve", 300],
                ["wait", 750],
            ],
            ["small reserved", "a reserved", "b reserved", "c waits", "c granted", "a overloaded"],
            610,
        ));
    it("reserves nothing for a body whose account has been closed", () =>
        doTest(
            [["a", "reserve", 100], ["a", "close"], ["a", "reserve", 200], ["a", "excess", 10, 200]],
            ["a reserved", "a waits"],
            0,
        ));
    it("grants a waiting body room for all that has arrived meanwhile", () =>
        doTest(
            [["a", "reserve", 768], ["b", "reserve", 80], ["b", "excess", 64, 80], ["b", "excess", 64, 300], [
                "a",
                "close",
            ]],
            ["a reserved", "b waits", "b granted"],
            300,
        ));
    it("refuses at once a waiting body for whose first bytes there is no room", () =>
        doTest(
            [["a", "reserve", 768], ["b", "reserve", 500], ["b", "excess", 64, 500], ["c", "reserve", 500], [
                "c",
                "excess",
                65,
                500,
            ]],
            ["a reserved", "b waits", "c waits", "c overloaded"],
            832,
        ));
});
