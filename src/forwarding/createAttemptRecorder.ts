/*
 * Records the results of attempts: the load and the failures of backend servers, the limits that they name, and the retries.
 */
import { assertNever } from "../errors";
import { getWeightsVersion } from "../fleet";
import { HistogramName, RetryReason } from "../metrics";
import { FleetInstance } from "../protocol";
import { AttemptEnd } from "./AttemptEnd";
import { AttemptRecorder } from "./AttemptRecorder";
import { AttemptResult } from "./AttemptResult";
import { endObservedRun } from "./endObservedRun";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getPartLogFields } from "./getPartLogFields";
import { LivenessMonitor } from "./LivenessMonitor";
import { LoadTracker } from "./LoadTracker";
import { PromptScheduler } from "./PromptScheduler";

interface AttemptRecorderOptions extends Pick<ForwarderOptions, "state" | "serverLimits" | "clock" | "metrics"> {
    /** The load of the backend servers. */
    loads: LoadTracker;
    /** Finds silent backend servers. */
    liveness: Pick<LivenessMonitor, "recordAttemptEnd" | "getUnresponsiveSignal">;
    /** The prefills in flight. */
    scheduler: Pick<PromptScheduler, "recordPrefillEnd">;
    /** Returns whether a request may be sent again. */
    canRunAgain(task: ForwardingTask): boolean;
}

/**
 * Creates the recorder of an entry process.
 * @param options - What the results change.
 */
export function createAttemptRecorder(options: AttemptRecorderOptions): AttemptRecorder {
    const { state, serverLimits, clock, metrics, loads, liveness, scheduler, canRunAgain } = options;
    return { recordSending, recordResult, recordPrefillEnd, recordAttemptEnd };

    function recordSending(task: ForwardingTask): void {
        if (task.sentAfterMilliseconds === undefined) {
            const milliseconds = clock.getMonotonicMilliseconds() - task.request.arrivalMilliseconds;
            task.sentAfterMilliseconds = Math.round(milliseconds);
            metrics.recordMilliseconds(HistogramName.SendingDelay, milliseconds);
        }
    }

    function recordResult(task: ForwardingTask, instance: FleetInstance, result: AttemptResult): boolean {
        const { instanceId } = instance;
        switch (result.kind) {
            case "notSent":
                task.counts.sent -= 1;
                task.counts.run -= 1;
                serverLimits.giveBack(instanceId);
                if (result.isServerSound) {
                    recordFailedAttempt(task, instance, RetryReason.Unreachable, result.reason);
                }
                else {
                    recordLoss(task, instance, RetryReason.Unreachable, result.reason);
                }
                return false;
            case "notRun":
                task.counts.run -= 1;
                if (result.isMisdirected && result.answeredBy !== undefined && result.answeredBy !== instanceId) {
                    loads.recordReplaced(instanceId);
                }
                if (!result.isMisdirected) {
                    serverLimits.recordLimit(instanceId, result.requestLimit);
                }
                if (result.load) {
                    loads.recordReport(instanceId, result.load);
                }
                recordFailedAttempt(
                    task,
                    instance,
                    result.isMisdirected ? RetryReason.WrongVersion : RetryReason.Overloaded,
                    `status ${result.status}`,
                );
                return false;
            case "lost":
                recordLoss(task, instance, RetryReason.LinkLost, result.reason);
                return !canRunAgain(task);
            case "answered":
                task.observedRun?.recordBegin();
                return recordResponse(task, instance, result);
            default:
                return assertNever(result);
        }
    }

    function recordResponse(
        task: ForwardingTask,
        instance: FleetInstance,
        { head, load, requestLimit }: Extract<AttemptResult, { kind: "answered"; }>,
    ): boolean {
        serverLimits.recordLimit(instance.instanceId, requestLimit);
        if (load) {
            loads.recordReport(instance.instanceId, load);
        }
        metrics.recordMilliseconds(
            HistogramName.TimeToFirstToken,
            clock.getMonotonicMilliseconds() - task.request.arrivalMilliseconds,
        );
        if (head.status < 500 || !canRunAgain(task)) {
            return true;
        }
        recordPrefillEnd(task, instance.instanceId);
        recordAttemptEnd(task, instance.instanceId, "other");
        recordFailedAttempt(task, instance, RetryReason.BackendRefused, `status ${head.status}`);
        return false;
    }

    /** Records an attempt without a response, which is no failure of the backend server where its request has ended. */
    function recordLoss(task: ForwardingTask, instance: FleetInstance, reason: RetryReason, detail: string): void {
        if (task.signal.aborted) {
            logCancelledAttempt(task, instance.instanceId);
            return;
        }
        loads.recordFailure(instance.instanceId);
        recordFailedAttempt(task, instance, reason, detail);
    }

    function recordFailedAttempt(
        task: ForwardingTask,
        instance: FleetInstance,
        reason: RetryReason,
        detail: string,
    ): void {
        metrics.countRetry(reason);
        task.logger.info({
            instanceId: instance.instanceId,
            reason,
            detail,
            ...getPartLogFields(task.request.prompt),
            requestSubject: reason === RetryReason.LinkLost ? task.subjects.getRequestSubjectId() : undefined,
            sentCount: task.counts.sent,
            weightsVersion: task.request.prompt && getWeightsVersion(instance, task.request.prompt.model),
            fleetRevision: state.getFleetRevision(),
        }, "attempt failed");
    }

    /** Logs an attempt that the end of its request or run has ended; neither the backend server nor the link has failed. */
    function logCancelledAttempt(task: ForwardingTask, instanceId: string): void {
        task.logger.info({
            instanceId,
            reason: task.supersededReason ?? (task.request.signal.aborted ? "callerLeft" : "deadline"),
            ...getPartLogFields(task.request.prompt),
            requestSubject: task.subjects.getRequestSubjectId(),
            sentCount: task.counts.sent,
            sentAfterMilliseconds: task.sentAfterMilliseconds,
        }, "attempt cancelled");
    }

    function recordPrefillEnd(task: ForwardingTask, instanceId: string): void {
        loads.recordPrefillEnd(instanceId, task.prefillTokens);
        task.prefillTokens = 0;
        scheduler.recordPrefillEnd(task);
    }

    function recordAttemptEnd(task: ForwardingTask, instanceId: string, end: AttemptEnd): void {
        loads.recordAttemptEnd(instanceId, task.request.prompt?.promptTokens ?? 0);
        const isServerSilent = liveness.getUnresponsiveSignal(instanceId).aborted;
        liveness.recordAttemptEnd(instanceId);
        task.attemptEnded?.abort();
        endObservedRun(task, end, isServerSilent);
    }
}
