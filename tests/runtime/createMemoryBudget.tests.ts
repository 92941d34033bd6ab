import { expect } from "chai";
import { createMemoryBudget } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";

describe("createMemoryBudget", () => {
    const megabyte = 1_048_576;

    /** Bytes that a holder adds, negative ones that it removes, the end of its share, or a wait in milliseconds. */
    type Step = readonly [holder: string, bytes: number | "close"] | readonly ["wait", number];

    /** Plays steps under a limit of four megabytes; returns what the holders were told, in order. */
    async function play(steps: readonly Step[]): Promise<string[]> {
        const clock = createManualClock();
        const budget = createMemoryBudget(4 * megabyte, clock);
        const notices: string[] = [];
        const accounts = new Map<string, ReturnType<typeof budget.open>>();
        for (const [name, bytes] of steps) {
            if (name === "wait") {
                await clock.advance(Number(bytes));
                continue;
            }
            const account = accounts.get(name) ?? budget.open({
                setPaused: isPaused => void notices.push(`${name} ${isPaused ? "paused" : "resumed"}`),
                giveUp: () => void notices.push(`${name} given up`),
            });
            accounts.set(name, account);
            if (bytes === "close") {
                account.close();
            }
            else if (bytes < 0) {
                account.remove(-bytes);
            }
            else {
                account.add(bytes);
            }
        }
        return notices;
    }

    async function doTest(steps: readonly Step[], expected: readonly string[]) {
        expect(await play(steps)).to.deep.equal(expected);
    }

    it("pauses no one within the limit", () => doTest([["a", 3 * megabyte], ["b", megabyte], ["wait", 1_000]], []));
    it("pauses large holders beyond the limit until others have freed memory", () =>
        doTest(
            [["a", 3 * megabyte], ["b", megabyte], ["small", 1_000], ["wait", 200], ["b", "close"], ["wait", 1_000]],
            ["a paused", "b paused", "a resumed"],
        ));
    it("lets a small holder grow beyond the limit, and pauses it once it has become large", () =>
        doTest(
            [["a", 4 * megabyte], ["b", 1_000], ["b", 100_000], ["b", 100_000]],
            ["a paused", "b paused"],
        ));
    it("gives the largest holder up where none frees memory", () =>
        doTest(
            [["a", megabyte], ["b", 3 * megabyte], ["c", megabyte], ["wait", 250]],
            ["a paused", "b paused", "c paused", "a resumed", "c resumed", "b given up"],
        ));
    it("gives up one after the other while the limit is exceeded", () =>
        doTest(
            [["a", megabyte], ["b", 9 * megabyte], ["c", 5 * megabyte], ["wait", 249], ["wait", 251]],
            ["a paused", "b paused", "c paused", "b given up", "a resumed", "c given up"],
        ));
    it("gives no small holder up", () =>
        doTest(
            [...Array.from({ length: 50 }, (...[, index]): Step => [`h${index}`, 100_000]), ["wait", 1_000]],
            [],
        ));
    it("counts no holder that was closed or given up", () =>
        doTest([["a", 3 * megabyte], ["a", "close"], ["a", megabyte], ["b", 4 * megabyte], ["wait", 1_000]], []));
});
