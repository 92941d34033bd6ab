import { expect } from "chai";
import { setImmediate } from "node:timers/promises";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createReadingTurns } from "../../src/requestMemory";
import { createManualClock } from "../support/createManualClock";

describe("createReadingTurns", () => {
    /** What arrives on a connection, the end of a turn, or a wait in milliseconds. */
    type Step =
        | readonly [connection: string, action: "open" | "request" | "close"]
        | readonly [connection: string, action: "chunks", count: number, byteCount: number]
        | readonly ["turn"]
        | readonly ["wait", number];

    /** Plays steps; returns what the connections were told, in order. */
    async function play(steps: readonly Step[]): Promise<string[]> {
        const clock = createManualClock();
        let endTurn = () => {};
        const turns = createReadingTurns({
            waitForTurn: () => new Promise<void>(resolve => endTurn = resolve),
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        const notices: string[] = [];
        const accounts = new Map<string, ReturnType<typeof turns.open>>();
        for (
            const [name, action, count = 0, byteCount = 0]
                of steps as readonly (readonly [string, string?, number?, number?])[]
        ) {
            if (name === "turn") {
                endTurn();
                await setImmediate();
                continue;
            }
            if (name === "wait") {
                await clock.advance(Number(action));
                continue;
            }
            const account = accounts.get(name) ?? turns.open({
                setPaused: isPaused => void notices.push(`${name} ${isPaused ? "paused" : "resumed"}`),
                refuse: () => void notices.push(`${name} refused`),
            });
            accounts.set(name, account);
            if (action === "request") {
                account.recordRequest();
            }
            else if (action === "close") {
                account.close();
            }
            for (let index = 0; index < count; index++) {
                account.recordChunk(byteCount);
            }
        }
        return notices;
    }

    async function doTest(steps: readonly Step[], expected: readonly string[]) {
        expect(await play(steps)).to.deep.equal(expected);
    }

    /** Reads a connection in each of its turns, which bring as many chunks of one byte as one read does. */
    const tinyRead = (name: string): Step => [name, "chunks", 10_000, 1];

    it("pauses no connection with requests of a usual size", () =>
        doTest(
            Array.from({ length: 100 }, (...[, index]): Step[] => [
                [`c${index}`, "request"],
                [`c${index}`, "chunks", 8, 65_536],
            ]).flat(),
            [],
        ));
    it("pauses a connection after many chunks, and reads it again in the next turn", () =>
        doTest([["a", "request"], ["a", "chunks", 300, 100], ["turn"]], ["a paused", "a resumed"]));
    it("pauses a connection after many requests in a turn", () =>
        doTest(Array.from({ length: 9 }, (): Step => ["a", "request"]), ["a paused"]));
    it("reads expensive connections one after the other", () =>
        doTest(
            [["a", "request"], ["b", "request"], ["turn"], tinyRead("a"), tinyRead("b"), ["turn"], ["turn"], ["turn"]],
            ["a paused", "b paused", "a resumed", "b resumed"],
        ));
    it("reads several connections in a turn that need little each", () =>
        doTest(
            [["a", "open"], ["b", "open"], ["a", "chunks", 300, 1], ["b", "chunks", 300, 1], ["turn"]],
            ["a paused", "b paused", "a resumed", "b resumed"],
        ));
    // One poll would otherwise read all that have been accepted together before anyone else.
    it("pauses connections that have not been read yet once a turn is over, and reads them before expensive ones", () =>
        doTest(
            [["a", "open"], ["b", "open"], ["c", "open"], tinyRead("a"), ["turn"], tinyRead("b"), ["turn"], ["turn"], [
                "turn",
            ]],
            [
                "a paused",
                "b paused",
                "c paused",
                "b resumed",
                "c resumed",
                "b paused",
                "c paused",
                "c resumed",
                "a resumed",
                "b resumed",
            ],
        ));
    it("reads a new connection later where others wait for their turns", () =>
        doTest([tinyRead("a"), ["b", "open"], ["turn"]], ["a paused", "b paused", "b resumed"]));
    it("forgets a connection that has ended", () =>
        doTest(
            [["a", "chunks", 300, 1], ["b", "chunks", 300, 1], ["a", "close"], ["turn"]],
            ["a paused", "b paused", "b resumed"],
        ));
    it("refuses no single request with small chunks", () =>
        doTest(
            Array.from({ length: 10 }, (): Step[] => [tinyRead("a"), ["wait", 200], ["turn"]]).flat(),
            Array.from({ length: 10 }, () => ["a paused", "a resumed"]).flat(),
        ));

    /** Reads four connections five times, and then not for half a second; returns what they were told then. */
    async function getLateNotices(byteCounts: Record<string, number>, chunkCount: number): Promise<string[]> {
        const names = Object.keys(byteCounts);
        const reads = names.map((name): Step => [name, "chunks", chunkCount, byteCounts[name]!]);
        const rounds = Array.from({ length: 5 }, (): Step[] => [...reads, ["turn"]]).flat();
        const former = await play([...rounds, ...reads]);
        return (await play([...rounds, ...reads, ["wait", 500], ["turn"]])).slice(former.length);
    }
    it("refuses the half with the smaller chunks where turns come too late", async () =>
        expect(await getLateNotices({ a: 3, b: 1, c: 2, d: 64 }, 1_000)).to.include.members(["b refused", "c refused"])
            .and.not.include.members(["a refused"]).and.not.include.members(["d refused"]));
    it("refuses no request before many of its chunks have arrived", async () =>
        expect(await getLateNotices({ a: 1, b: 1 }, 600)).to.deep.equal(["a resumed", "b resumed"]));
    it("judges a request by its own chunks", () =>
        doTest(
            [tinyRead("a"), ["a", "request"], ["a", "chunks", 300, 1], ["wait", 500], ["turn"]],
            ["a paused", "a resumed"],
        ));
});
