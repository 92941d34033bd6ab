import { expect } from "chai";
import { createSilentLogger, Logger } from "../../src/logging";
import { createMetrics, TaskName } from "../../src/metrics";
import { superviseTask } from "../../src/supervision";
import { createManualClock } from "../support/createManualClock";

describe("superviseTask", () => {
    /** Runs a task; returns when it was started, in milliseconds, and what was logged. */
    async function runTask(name: TaskName, run: (count: number) => Promise<void>, milliseconds: number) {
        const clock = createManualClock();
        const metrics = createMetrics();
        const stop = new AbortController();
        const starts: number[] = [];
        const lines: { task?: string; policy?: string; stack?: string; }[] = [];
        const logger = { ...createSilentLogger(), error: (fields: object) => void lines.push(fields) };
        let outcome = "runs";
        const supervised = superviseTask(name, () => {
            starts.push(clock.getMonotonicMilliseconds());
            return run(starts.length);
        }, { clock, metrics, logger: logger as unknown as Logger, signal: stop.signal });
        void supervised.then(() => outcome = "ended", () => outcome = "rejected");
        await clock.advance(milliseconds);
        const text = await metrics.getText();
        const count = Number(/basilwing_task_failures_total\{task="\w+"\} (\d+)/.exec(text)?.[1] ?? 0);
        return { clock, starts, lines, stop, count, getOutcome: () => outcome };
    }

    const fail = () => Promise.reject(new Error("broken"));

    it("starts a task again after a pause that grows up to a limit", async () => {
        const { starts, lines, count } = await runTask(TaskName.Feed, fail, 8_000);
        expect(starts).to.deep.equal([0, 50, 150, 350, 750, 1_550, 3_150, 4_750, 6_350, 7_950]);
        expect(lines.map(({ task, policy }) => `${task} ${policy}`)).to.deep.equal(starts.map(() => "feed restart"));
        expect(lines[0]!.stack).to.include("superviseTask.tests");
        expect(count).to.equal(starts.length);
    });

    it("begins with the shortest pause again after the task has run for some time", async () => {
        const clockHolder: { sleep?: (milliseconds: number) => Promise<void>; } = {};
        const trial = await runTask(TaskName.Feed, async count => {
            await (count === 5 ? clockHolder.sleep!(10_000) : undefined);
            throw new Error("broken");
        }, 740);
        clockHolder.sleep = trial.clock.sleep;
        await trial.clock.advance(11_000);
        expect(trial.starts.slice(0, 7)).to.deep.equal([0, 50, 150, 350, 750, 10_800, 10_900]);
    });

    it("starts a task that fails before its first wait again, too", async () => {
        const { starts } = await runTask(TaskName.Feed, () => {
            throw new Error("broken");
        }, 100);
        expect(starts).to.deep.equal([0, 50]);
    });

    it("starts no task again once it is to stop", async () => {
        const { starts, stop, clock, getOutcome } = await runTask(TaskName.Feed, fail, 100);
        stop.abort();
        await clock.advance(10_000);
        expect(starts).to.deep.equal([0, 50]);
        expect(getOutcome()).to.equal("ended");
    });

    it("starts no task again that has ended", async () => {
        const { starts, lines, getOutcome } = await runTask(TaskName.Feed, () => Promise.resolve(), 10_000);
        expect(starts).to.deep.equal([0]);
        expect(lines).to.deep.equal([]);
        expect(getOutcome()).to.equal("ended");
    });

    it("gives up a task that others do without", async () => {
        const { starts, lines, count, getOutcome } = await runTask(TaskName.CrashCheck, fail, 10_000);
        expect([starts, lines.length, count, getOutcome()]).to.deep.equal([[0], 1, 1, "ended"]);
    });

    it("lets a failure end the process where its state may be untrue", async () => {
        const { starts, lines, count, getOutcome } = await runTask(TaskName.ReplicatedLog, fail, 10_000);
        expect([starts, lines.length, count, getOutcome()]).to.deep.equal([[0], 1, 1, "rejected"]);
    });
});
