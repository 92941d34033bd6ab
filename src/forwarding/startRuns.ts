/*
 * Runs a request, and hedges it while its backend server is silent. Silence alone ends no run: a sound server may pause for
 * seconds, and the server that could take over may refuse the request. So a second run is started beside the silent one, and
 * the first of the two that delivers goes on, while the other is ended. If one fails, the other remains.
 */
import { getErrorMessage } from "../errors";
import { Logger } from "../logging";
import { abortWait, createAsyncQueue, detach } from "../runtime";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { createHedgeTask } from "./createHedgeTask";
import { DeliveredValue } from "./DeliveredValue";
import { ForwardingTask } from "./ForwardingTask";
import { RunStarter } from "./RunStarter";
import { RunStep } from "./RunStep";
import { SupersededReason } from "./SupersededReason";

/** A run in progress. */
interface Run<T> {
    task: ForwardingTask;
    steps: AsyncIterator<RunStep<T>, void>;
    controller: AbortController;
}

/** What happened to a run. */
type RunNotice<T> =
    | { kind: "silent"; run: Run<T>; silentMilliseconds: number; }
    | { kind: "ended"; run: Run<T>; }
    | { kind: "thrown"; run: Run<T>; error: unknown; }
    | { kind: "step"; run: Run<T>; step: RunStep<T>; };

/** The options of a request's runs. */
interface RunsOptions<T> {
    /** The request. */
    task: ForwardingTask;
    /** Decides whether a hedge may be sent. */
    dispatcher: Pick<AttemptDispatcher, "tryReserveHedge" | "recordHedgeWon">;
    /** Starts a run. */
    start: RunStarter<T>;
    /** Gets the silence after which another run may continue the response as it is, in milliseconds. */
    getHedgedSilence(): number;
}

/**
 * Runs a request; ends after the value that its reader takes for the last one.
 * @param options - The request, and how it is run.
 */
export async function* startRuns<T>(options: RunsOptions<T>): AsyncGenerator<DeliveredValue<T>, void> {
    const { dispatcher, getHedgedSilence } = options;
    const notices = createAsyncQueue<RunNotice<T>>();
    const finished = new AbortController();
    let leading = startRun(signal => ({ ...options.task, signal }));
    let hedge: Run<T> | undefined;
    try {
        for await (const notice of notices) {
            const { run } = notice;
            if (run !== leading && run !== hedge) {
                continue;
            }
            if (notice.kind === "silent") {
                startHedge(run, notice.silentMilliseconds);
                continue;
            }
            const other = run === leading ? hedge : leading;
            const hasFailed = notice.kind !== "step" || notice.step.kind === "failed";
            if (hasFailed && other) {
                if (notice.kind === "thrown") {
                    run.task.logger.error({ error: getErrorMessage(notice.error) }, "run failed unexpectedly");
                }
                continueWith(other);
                continue;
            }
            if (notice.kind === "thrown") {
                throw notice.error;
            }
            if (notice.kind === "ended") {
                return;
            }
            if (other) {
                supersede(other, run === leading ? SupersededReason.Overtaken : SupersededReason.Silent);
                continueWith(run);
            }
            yield { task: run.task, value: notice.step.value };
            detach(readStep(run));
        }
    }
    finally {
        abortWait(finished);
        if (hedge) {
            supersede(hedge, SupersededReason.Overtaken);
        }
    }

    /** Starts a run whose signal is also aborted at the end of the request. */
    function startRun(createTask: (signal: AbortSignal) => ForwardingTask): Run<T> {
        const controller = new AbortController();
        const { signal: requestSignal } = options.task;
        const end = () => controller.abort();
        if (requestSignal.aborted) {
            end();
        }
        requestSignal.addEventListener("abort", end, { once: true, signal: finished.signal });
        const task = createTask(controller.signal);
        const run: Run<T> = { task, steps: options.start(task), controller };
        task.onServerSilent = silentMilliseconds => notices.add({ kind: "silent", run, silentMilliseconds });
        detach(readStep(run));
        return run;
    }

    async function readStep(run: Run<T>): Promise<void> {
        try {
            const result = await run.steps.next();
            notices.add(result.done ? { kind: "ended", run } : { kind: "step", run, step: result.value });
        }
        catch (thrown) {
            notices.add({ kind: "thrown", run, error: thrown });
        }
    }

    /** Starts a second run beside a silent one, if there is none and the request may be sent once more. */
    function startHedge(run: Run<T>, silentMilliseconds: number): void {
        try {
            if (!hedge && silentMilliseconds >= getHedgedSilence() && dispatcher.tryReserveHedge(run.task)) {
                run.task.isHedged = true;
                hedge = startRun(signal => createHedgeTask(run.task, signal));
            }
        }
        catch (thrown) {
            run.task.isHedged = false;
            run.task.logger.error({ error: getErrorMessage(thrown) }, "second run failed to start");
        }
    }

    function continueWith(run: Run<T>): void {
        if (run === hedge) {
            dispatcher.recordHedgeWon(run.task);
        }
        leading = run;
        hedge = undefined;
        run.task.isHedged = false;
    }

    /** Ends a run, and reads its remaining steps so that the end of its attempt is recorded. */
    function supersede({ task, steps, controller }: Run<T>, reason: SupersededReason): void {
        task.supersededReason = reason;
        controller.abort();
        detach(readToEnd(steps, task.logger));
    }
}

async function readToEnd(steps: AsyncIterator<unknown, void>, logger: Logger): Promise<void> {
    try {
        let result = await steps.next();
        while (!result.done) {
            result = await steps.next();
        }
    }
    catch (thrown) {
        logger.error({ error: getErrorMessage(thrown) }, "run failed unexpectedly");
    }
}
