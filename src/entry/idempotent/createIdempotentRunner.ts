/*
 * Runs requests that may be repeated at the best sidecar, and at the next one if that sidecar refuses or is lost. A
 * completion that breaks off continues at another replica of the same version, after the text that the caller has
 * already received.
 */
import { getRunState } from "../../outcome";
import { RefusalReason } from "../../protocol";
import { RouteStep } from "../../routing";
import { AdmittedRequest } from "../AdmittedRequest";
import { AdmittedRequestRunner } from "../AdmittedRequestRunner";
import { AttemptFailure } from "../AttemptFailure";
import { createDeadlineSignal } from "../createDeadlineSignal";
import { createRequestState } from "../createRequestState";
import { dispatchAttempt } from "../dispatchAttempt";
import { findSidecar } from "../findSidecar";
import { getRetryReason } from "../getRetryReason";
import { RefusalDetails } from "../RefusalDetails";
import { ResponseEvent } from "../ResponseEvent";
import { RunnerOptions } from "../RunnerOptions";
import { getRetryCost } from "./getRetryCost";
import { waitForRevision } from "./waitForRevision";

const maximumAttempts = 8;
const retryDelayMilliseconds = 20;
const staleSettingsDelayMilliseconds = 50;
const retryAfterNoReplicaMilliseconds = 1_000;
/** The reasons after which waiting for a sidecar may help if none is left to try. */
const transientReasons: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.BACKEND_CRASHED,
    RefusalReason.BACKEND_REFUSED,
    RefusalReason.BACKEND_UNREACHABLE,
    RefusalReason.DRAINING,
    RefusalReason.LINK_LOST,
    RefusalReason.WRONG_INCARNATION,
    RefusalReason.WRONG_VERSION,
]);

/**
 * Creates the runner of requests that may be repeated.
 * @param parts - The parts that all requests of the entry process share.
 */
export function createIdempotentRunner(parts: RunnerOptions): AdmittedRequestRunner {
    const { clock, quarantineGate: gate, metrics, random, retryBudget } = parts;
    return { run };

    async function* run(request: AdmittedRequest, callerSignal: AbortSignal): AsyncGenerator<ResponseEvent> {
        const deadline = createDeadlineSignal(clock, request.deadlineMilliseconds);
        retryBudget.addFirstAttempt();
        try {
            yield* runAttempts(request, AbortSignal.any([callerSignal, deadline.signal]), deadline.signal);
        }
        finally {
            deadline.release();
        }
    }

    async function* runAttempts(
        request: AdmittedRequest,
        signal: AbortSignal,
        deadlineSignal: AbortSignal,
    ): AsyncGenerator<ResponseEvent> {
        const state = createRequestState(parts, request);
        let failure: AttemptFailure | undefined;
        let crashes = 0;
        let failures = 0;
        let isTrial = false;
        let isCompleted = false;
        try {
            for (let attempt = 1; failures < maximumAttempts; attempt++) {
                if (attempt === 1 || failure?.reason === RefusalReason.BACKEND_CRASHED) {
                    const trial = await checkTrial(request, crashes, signal);
                    isTrial = trial.kind === "runAlone";
                    if (trial.kind === "refused") {
                        yield createRefusedEvent(trial.refusal);
                        return;
                    }
                }
                const step = await findNextSidecar(failure);
                if (step === undefined) {
                    break;
                }
                failure = yield* dispatchAttempt(parts, request, state, step, attempt, isTrial, signal);
                if (failure === undefined) {
                    isCompleted = true;
                    return;
                }
                state.addRunState(failure.runState);
                crashes += failure.reason === RefusalReason.BACKEND_CRASHED ? 1 : 0;
                failures += failure.reason === RefusalReason.BETTER_SIBLING ? 0 : 1;
                const refusal = await prepareRetry(failure, failures);
                if (refusal !== undefined) {
                    yield createRefusedEvent(refusal);
                    return;
                }
            }
            yield createRefusedEvent(getFinalRefusal(failure));
        }
        finally {
            if (isTrial || (crashes > 0 && isCompleted)) {
                gate.endTrial(request, isCompleted);
            }
        }

        function findNextSidecar(last: AttemptFailure | undefined): Promise<RouteStep | undefined> {
            const mayWait = last === undefined || transientReasons.has(last.reason);
            return findSidecar(parts, state, mayWait, signal);
        }

        /**
         * Gets the refusal that ends the request after a failed attempt, or waits for the delay before the next one.
         * @returns The refusal; undefined if another attempt may follow.
         */
        async function prepareRetry(
            last: AttemptFailure,
            failureCount: number,
        ): Promise<RefusalDetails | undefined> {
            const retryReason = getRetryReason(last.reason);
            if (signal.aborted || retryReason === undefined || !state.mayRetry() || failureCount === maximumAttempts) {
                return getFinalRefusal(last);
            }
            const isFree = getRetryCost(last.reason) === "free" || state.hasResponseStarted();
            if (!isFree && !retryBudget.tryTakeRetry()) {
                return last;
            }
            metrics.countRetry(retryReason);
            if (last.reason === RefusalReason.STALE_SETTINGS) {
                state.clearExclusions();
                await clock.sleep(staleSettingsDelayMilliseconds * failureCount, signal);
                return waitForRevision(parts, request, last.configurationRevision, signal);
            }
            if (last.reason !== RefusalReason.BETTER_SIBLING) {
                await clock.sleep(retryDelayMilliseconds * (failureCount - 1) * (1 + random.getFraction()), signal);
            }
            return undefined;
        }

        /** Gets the refusal of a request that can't be retried any more. */
        function getFinalRefusal(last: AttemptFailure | undefined): RefusalDetails {
            if (deadlineSignal.aborted) {
                const message = "The deadline passed.";
                return { reason: RefusalReason.DEADLINE, message, retryAfterMilliseconds: 0 };
            }
            const message = "No backend server can take this request now.";
            const retryAfterMilliseconds = retryAfterNoReplicaMilliseconds;
            return last ?? { reason: RefusalReason.NO_REPLICA, message, retryAfterMilliseconds };
        }

        /** Creates the event that ends the request without its response. */
        function createRefusedEvent({ message, reason, retryAfterMilliseconds }: RefusalDetails): ResponseEvent {
            const runState = getRunState({ kind: "sidecarReported", runState: state.getRunState() });
            return { kind: "refused", refusal: { reason, message, retryAfterMilliseconds, runState } };
        }
    }

    /** Asks the quarantine gate whether a completion may run, and whether alone. Plain services have no quarantine. */
    function checkTrial(request: AdmittedRequest, crashes: number, signal: AbortSignal): ReturnType<typeof gate.check> {
        return request.work.kind === "completion"
            ? gate.check(request, crashes, signal)
            : Promise.resolve({ kind: "run" });
    }
}
