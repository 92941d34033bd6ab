import { expect } from "chai";
import { createMemoryBudget } from "../../src/runtime";
import { createManualClock } from "../support/createManualClock";

describe("createMemoryBudget", () => {
    const megabyte = 1_048_576;

    /** Bytes that a holder adds, negative ones that it removes, the end of its share, or a wait in milliseconds. */
    type Step =
        | readonly [holder: string, bytes: number | "close"]
        | readonly [holder: string, action: "expect", bytes: number]
        | readonly ["wait", number];

    /** Plays steps under a limit of four megabytes; returns what the holders were told, in order. */
    async function play(steps: readonly Step[]): Promise<string[]> {
        const clock = createManualClock();
        const budget = createMemoryBudget(4 * megabyte, clock);
        const notices: string[] = [];
        const accounts = new Map<string, ReturnType<typeof budget.open>>();
        for (const [name, bytes, expectedBytes = 0] of steps) {
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
            else if (bytes === "expect") {
                account.expect(expectedBytes);
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
    it("lets the first large holders go on beyond the limit, and pauses the others until there is room", () =>
        doTest(
            [["a", 3 * megabyte], ["b", megabyte], ["c", megabyte], ["small", 1_000], ["a", "close"], [
                "small",
                "close",
            ]],
            ["c paused", "c resumed"],
        ));
    it("lets as many go on beyond the limit as need no more than the largest together", () =>
        doTest(
            [
                ...["a", "b", "c", "d"].map((name): Step => [name, "expect", 3 * megabyte]),
                ...["a", "b", "c", "d"].map((name): Step => [name, 1.6 * megabyte]),
                ["a", 1.4 * megabyte],
                ["a", "close"],
                ["b", "close"],
            ],
            ["c paused", "d paused", "c resumed", "d resumed"],
        ));
    it("lets a small holder grow beyond the limit, and pauses it once it has become large", () =>
        doTest(
            [["a", 2 * megabyte], ["b", 3 * megabyte], ["c", 1_000], ["c", 100_000], ["c", 100_000]],
            ["c paused"],
        ));
    it("lets another one go on in place of one without progress", () =>
        doTest(
            [["a", megabyte], ["b", 3 * megabyte], ["c", megabyte], ["wait", 250], ["c", 1_000], ["wait", 250]],
            ["c paused", "c resumed", "a paused"],
        ));
    // If all were paused until others have freed memory, none would end.
    it("lets each large holder end in its turn, however many there are", async () => {
        const names = Array.from({ length: 60 }, (...[, index]) => `h${index}`);
        const paused = new Set<string>();
        const ended: string[] = [];
        const clock = createManualClock();
        const budget = createMemoryBudget(4 * megabyte, clock);
        const holders = names.map(name => {
            const account = budget.open({
                setPaused: isPaused => void (isPaused ? paused.add(name) : paused.delete(name)),
                giveUp: () => expect.fail(`${name} given up`),
            });
            account.add(0.12 * megabyte);
            return { name, account, bytes: 0.12 * megabyte };
        });
        for (let round = 0; round < 1_000 && ended.length < names.length; round++) {
            for (const holder of holders.filter(({ name }) => !paused.has(name) && !ended.includes(name))) {
                holder.account.add(65_536);
                holder.bytes += 65_536;
                if (holder.bytes >= megabyte) {
                    ended.push(holder.name);
                    holder.account.close();
                }
            }
            await clock.advance(20);
        }
        expect(ended).to.have.members(names);
    });
    it("gives the largest holder up where none makes progress", () =>
        doTest(
            [["a", megabyte], ["b", 3 * megabyte], ["c", megabyte], ["wait", 250], ["wait", 250]],
            ["c paused", "c resumed", "a paused", "a resumed", "b given up"],
        ));
    it("gives none up as long as one makes progress", () =>
        doTest(
            [
                ["a", megabyte],
                ["b", 3.5 * megabyte],
                ...Array.from({ length: 4 }, (): Step[] => [["a", 100_000], ["wait", 250], ["wait", 249]]).flat(),
            ],
            [],
        ));
    /** Waits for a number of checks. */
    const wait = (count: number) => Array.from({ length: count }, (): Step => ["wait", 250]);
    const threeLarge: readonly Step[] = [["a", megabyte], ["b", 9 * megabyte], ["c", 5 * megabyte]];
    it("gives up one after the other while the limit is exceeded", () =>
        doTest([...threeLarge, ...wait(4)], ["b given up", "c given up"]));
    it("gives no second one up before others have had time to go on", () =>
        doTest([...threeLarge, ...wait(3), ["wait", 249]], ["b given up"]));
    it("gives no small holder up", () =>
        doTest(
            [...Array.from({ length: 50 }, (...[, index]): Step => [`h${index}`, 100_000]), ["wait", 1_000]],
            [],
        ));
    it("counts no holder that was closed or given up", () =>
        doTest([["a", 3 * megabyte], ["a", "close"], ["a", megabyte], ["b", 4 * megabyte], ["wait", 1_000]], []));
});
