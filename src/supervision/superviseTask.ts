/*
 * Runs a background task. A failure is logged and counted; what happens then depends on the task. The pause before a task
 * starts again grows, so that one that always fails neither keeps the processor busy nor fills the log.
 */
import { assertNever, getErrorMessage } from "../errors";
import { TaskName } from "../metrics";
import { failurePolicies } from "./failurePolicies";
import { FailurePolicy } from "./FailurePolicy";
import { TaskContext } from "./TaskContext";

/** The pause after the first failure, in milliseconds: callers hardly notice it. */
const minimumPauseMilliseconds = 50;
/** The maximum pause, in milliseconds: well below the age at which routing state is used no more. */
const maximumPauseMilliseconds = 1_600;
/** How long a task has to run for its next failure to count as the first one, in milliseconds. */
const steadyMilliseconds = 10_000;

/**
 * Runs a background task until it ends or is not started again.
 * @param name - The task, which determines what happens after a failure.
 * @param run - Runs the task.
 * @param context - What the supervision depends on.
 * @returns Rejects only if the process has to end.
 */
export async function superviseTask(name: TaskName, run: () => Promise<void>, context: TaskContext): Promise<void> {
    const { clock, logger, metrics, signal } = context;
    let pauseMilliseconds = minimumPauseMilliseconds;
    while (true) {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        try {
            await run();
            return;
        }
        catch (thrown) {
            const policy = failurePolicies[name];
            metrics.countTaskFailure(name);
            const stack = thrown instanceof Error ? thrown.stack : undefined;
            logger.error({ task: name, policy, problem: getErrorMessage(thrown), stack }, "background task failed");
            switch (policy) {
                case FailurePolicy.EndProcess:
                    throw thrown;
                case FailurePolicy.GiveUp:
                    return;
                case FailurePolicy.Restart:
                    break;
                default:
                    assertNever(policy);
            }
        }
        if (clock.getMonotonicMilliseconds() - startMilliseconds >= steadyMilliseconds) {
            pauseMilliseconds = minimumPauseMilliseconds;
        }
        await clock.sleep(pauseMilliseconds, signal);
        if (signal?.aborted) {
            return;
        }
        pauseMilliseconds = Math.min(maximumPauseMilliseconds, 2 * pauseMilliseconds);
    }
}
