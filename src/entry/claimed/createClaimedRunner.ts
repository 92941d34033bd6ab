/*
 * Runs requests that may not be repeated. Each runs in a task of its own, which records the outcome even after the
 * caller has disconnected. The caller gets the response from the task or, if another delivery has run the request, from
 * the claim.
 */
import { getErrorMessage } from "../../errors";
import { getRunState } from "../../outcome";
import { AdmittedRequest } from "../AdmittedRequest";
import { createDeadlineSignal } from "../createDeadlineSignal";
import { createRequestState } from "../createRequestState";
import { RefusalDetails } from "../RefusalDetails";
import { ResponseEvent } from "../ResponseEvent";
import { RunnerOptions } from "../RunnerOptions";
import { ClaimClient } from "./ClaimClient";
import { ClaimedRunner } from "./ClaimedRunner";
import { ClaimedTask } from "./ClaimedTask";
import { claimRefusals } from "./claimRefusals";
import { createResponseChannel } from "./createResponseChannel";
import { runClaimedTask } from "./runClaimedTask";

const maximumPendingBytes = 4_194_304;
/** How long a task may follow its attempt after the request's deadline, to record the outcome. */
const postDeadlineMilliseconds = 60_000;

/**
 * Creates the runner of requests that may not be repeated.
 * @param parts - The parts that all requests of the entry process share.
 * @param claims - The client that opens and settles claims.
 */
export function createClaimedRunner(parts: RunnerOptions, claims: ClaimClient): ClaimedRunner {
    const { clock, logger } = parts;
    let tasksInFlight = 0;
    return { run, getTasksInFlight: () => tasksInFlight };

    async function* run(request: AdmittedRequest): AsyncGenerator<ResponseEvent> {
        const deadline = createDeadlineSignal(clock, request.deadlineMilliseconds);
        const taskLimit = createDeadlineSignal(clock, request.deadlineMilliseconds + postDeadlineMilliseconds);
        const task = createTask(request, taskLimit.signal);
        void runTask(task).finally(taskLimit.release);
        try {
            yield* task.channel.read(deadline.signal);
            if (deadline.signal.aborted) {
                task.hasRefusedCaller = true;
                const isHeldElsewhere = task.evidence.kind === "claimHeldElsewhere";
                yield createRefusedEvent(
                    task,
                    isHeldElsewhere ? claimRefusals.keyInProgress : claimRefusals.deadlinePassed,
                );
            }
        }
        finally {
            deadline.release();
        }
    }

    function createTask(request: AdmittedRequest, signal: AbortSignal): ClaimedTask {
        return {
            request,
            idempotencyKey: request.idempotencyKey ?? `basilwing-${request.requestId}`,
            state: createRequestState(parts, request),
            channel: createResponseChannel(maximumPendingBytes),
            signal,
            evidence: { kind: "claimNotOpened", mayHaveRunBefore: request.idempotencyKey !== undefined },
            hasRefusedCaller: false,
        };
    }

    /** Runs a request until its outcome is recorded, or until no outcome can be recorded. */
    async function runTask(task: ClaimedTask): Promise<void> {
        tasksInFlight += 1;
        try {
            const refusal = await runClaimedTask(parts, claims, task);
            if (refusal !== undefined) {
                await task.channel.push(createRefusedEvent(task, refusal));
            }
        }
        catch (error) {
            const { requestId } = task.request;
            logger.error({ requestId, problem: getErrorMessage(error) }, "claimed request failed");
            await task.channel.push(createRefusedEvent(task, claimRefusals.sidecarUnreachable));
        }
        finally {
            task.channel.close();
            tasksInFlight -= 1;
        }
    }
}

/** Creates the event that ends a request without its response. */
function createRefusedEvent(task: ClaimedTask, refusalText: RefusalDetails): ResponseEvent {
    const { message, reason, retryAfterMilliseconds } = refusalText;
    return {
        kind: "refused",
        refusal: { reason, message, retryAfterMilliseconds, runState: getRunState(task.evidence) },
    };
}
