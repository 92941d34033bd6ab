import { expect } from "chai";
import { ForwardingTask } from "../../src/forwarding/ForwardingTask";
import { RunStep } from "../../src/forwarding/RunStep";
import { startRuns } from "../../src/forwarding/startRuns";
import { createSilentLogger } from "../../src/logging";
import { createManualClock } from "../support/createManualClock";

describe("startRuns", () => {
    function createTask(): ForwardingTask {
        return {
            request: { requestId: "request-1" },
            admission: { route: {} },
            counts: { sent: 1, run: 1 },
            signal: new AbortController().signal,
            logger: createSilentLogger(),
        } as unknown as ForwardingTask;
    }

    const fail = () => {
        throw new Error("unexpected");
    };

    it("goes on with the silent run where no hedge can be started", async () => {
        const clock = createManualClock();
        const runs = startRuns<string>({
            task: createTask(),
            dispatcher: { tryReserveHedge: fail, recordHedgeWon: () => undefined },
            start: run,
            getHedgedSilence: () => 0,
        });
        const delivered = runs.next().catch((thrown: Error) => ({ value: { value: thrown.message } }));
        await clock.advance(200);
        expect((await delivered).value?.value).to.equal("response");

        async function* run(runTask: ForwardingTask): AsyncGenerator<RunStep<string>, void> {
            await clock.sleep(100);
            runTask.onServerSilent(100);
            await clock.sleep(50, runTask.signal);
            yield { kind: runTask.isHedged ? "failed" : "delivered", value: "response" };
        }
    });

    it("goes on with the silent run where the hedge fails unexpectedly", async () => {
        const clock = createManualClock();
        let count = 0;
        const task = createTask();
        const runs = startRuns<string>({
            task,
            dispatcher: { tryReserveHedge: () => true, recordHedgeWon: () => undefined },
            start: run,
            getHedgedSilence: () => 0,
        });
        const delivered = runs.next();
        await clock.advance(200);
        expect((await delivered).value?.value).to.equal("response");

        async function* run(runTask: ForwardingTask): AsyncGenerator<RunStep<string>, void> {
            count += 1;
            if (count > 1) {
                throw new Error("unexpected");
            }
            await clock.sleep(100);
            runTask.onServerSilent(100);
            await clock.sleep(100, runTask.signal);
            yield { kind: "delivered", value: "response" };
        }
    });
});
