/*
 * The attempts of a request. What was certainly not run may go to another backend server, whatever its kind; what may
 * have run goes again only where the route's kind, its bound on attempts and the shared budget of retries allow it.
 */
import { RouteKind } from "../documents";
import { assertNever } from "../errors";
import { getWeightsVersion } from "../fleet";
import { HistogramName, RetryReason } from "../metrics";
import { FleetInstance, RefusalReason } from "../protocol";
import { AnswerOpener } from "./AnswerOpener";
import { BackendAnswer } from "./BackendAnswer";
import { collectBody } from "./collectBody";
import { createEnginePlacement } from "./createEnginePlacement";
import { createLoadBoard } from "./createLoadBoard";
import { createPromptDispatch } from "./createPromptDispatch";
import { createRendezvousRanking } from "./createRendezvousRanking";
import { createServiceBudgets } from "./createServiceBudgets";
import { createSilenceWatch } from "./createSilenceWatch";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getAttemptTerms } from "./getAttemptTerms";
import { OpenOutcome } from "./OpenOutcome";
import { placePlainRequest } from "./placePlainRequest";
import { Refusal } from "./Refusal";

/** How many backend servers a request is offered to at most: more would delay a refusal that is due. */
const maximumOffers = 4;
/** When a caller should come back whose request found no room, in milliseconds: a few requests' time. */
const fullRetryMilliseconds = 1_000;
/** The shortest rest of a request's time that is worth another attempt, in milliseconds. */
const shortestAttemptMilliseconds = 20;

/**
 * Creates the opener of an entry.
 * @param options - What the entry's forwarder is made of.
 */
export function createAnswerOpener(options: ForwarderOptions): AnswerOpener {
    const { state, link, dataCentre, clock, random, metrics } = options;
    const watch = createSilenceWatch({ link, clock, logger: options.logger, signal: options.signal });
    const loads = createLoadBoard(clock, watch.isSilent);
    const ranking = createRendezvousRanking();
    const placement = createEnginePlacement(loads, ranking, clock, options.longestWeightsAgeMilliseconds);
    const prompts = createPromptDispatch(placement, state, clock);
    const budgets = createServiceBudgets(options.retryShare, options.retryReserve, state.getEntryCount);
    return {
        open,
        noteStarted,
        noteEnded,
        canRepeat,
    };

    async function open(task: ForwardingTask, lastEventId: string | undefined): Promise<OpenOutcome> {
        const { admission: { service }, request } = task;
        if (task.sentCount === 0) {
            budgets.addFirstAttempt(service.name);
        }
        let retryAfterMilliseconds: number | undefined;
        while (true) {
            const refusal = getObstacle(task);
            if (refusal) {
                return { kind: "givenUp", refusal };
            }
            const instance = place(task);
            if (!instance || task.triedIds.size >= maximumOffers || !takeAttempt(task)) {
                return { kind: "givenUp", refusal: getFullRefusal(task, retryAfterMilliseconds) };
            }
            if (await prompts.waitForRead(task, instance)) {
                continue;
            }
            const answer = await send(task, instance, lastEventId ?? request.lastEventId);
            const isFinal = note(task, instance, answer);
            if (answer.kind === "answered" && isFinal) {
                return { kind: "opened", instance, answer };
            }
            if (answer.kind === "answered") {
                void collectBody(answer.body);
            }
            if (isFinal) {
                return { kind: "givenUp", refusal: getFailure(task) };
            }
            if (answer.kind === "notRun") {
                retryAfterMilliseconds = answer.retryAfterMilliseconds;
            }
        }
    }

    /** Gets why nothing more may be sent now: the caller or the deadline, or rules that are too old. */
    function getObstacle(task: ForwardingTask): Refusal | undefined {
        if (task.signal.aborted || getRemaining(task) < shortestAttemptMilliseconds) {
            return getFailure(task);
        }
        const needsKey = task.admission.workspace !== undefined && !task.admission.route.isPublic;
        const isStale = needsKey && state.getDocumentAgeMilliseconds() > options.longestAgeMilliseconds;
        return isStale ? getRefusal(task, RefusalReason.STALE_SETTINGS, fullRetryMilliseconds) : undefined;
    }

    /** Takes what another attempt costs; the first one is free. */
    function takeAttempt(task: ForwardingTask): boolean {
        return task.sentCount === 0 || budgets.tryTakeRetry(task.admission.service.name);
    }

    /** Chooses a backend server that was not tried. */
    function place(task: ForwardingTask): FleetInstance | undefined {
        const { request: { prompt }, admission: { service }, triedIds } = task;
        const candidates = (state.getFleet()?.instances ?? []).filter(instance =>
            instance.service === service.name && !instance.isLeaving && !triedIds.has(instance.instanceId)
        );
        if (service.kind === "engine" && prompt) {
            return prompts.choose(task, candidates);
        }
        return placePlainRequest(candidates, loads, dataCentre, random);
    }

    async function send(
        task: ForwardingTask,
        instance: FleetInstance,
        lastEventId: string | undefined,
    ): Promise<BackendAnswer> {
        const { instanceId } = instance;
        task.triedIds.add(instanceId);
        task.sentCount += 1;
        const terms = getAttemptTerms(task, instance, {
            entryCount: state.getEntryCount(),
            sources: prompts.takeSources(task, instance),
            keptCaches: options.keptCaches,
            ranking,
        });
        task.placement = {
            instanceId,
            requestCount: loads.getRequests(instanceId),
            unreadTokens: loads.getUnreadTokens(instanceId),
            fetchAddress: terms.fetchAddress,
            saveAddress: terms.saveAddress,
        };
        loads.noteSent(instanceId, getPromptTokens(task));
        watch.noteSent(instance, task.admission.service);
        const answer = await link.send({
            request: task.request,
            instance,
            remainingMilliseconds: getRemaining(task),
            lastEventId,
            signal: task.signal,
            deadSignal: mayRepeat(task, 1) ? watch.getSignal(instanceId) : undefined,
            onHeard: () => watch.noteHeard(instanceId),
            ...terms,
        });
        if (answer.kind !== "answered") {
            noteStarted(task, instanceId);
            noteEnded(instanceId);
        }
        return answer;
    }

    /** Notes an answer; tells whether it is the request's last one. */
    function note(task: ForwardingTask, instance: FleetInstance, answer: BackendAnswer): boolean {
        const { instanceId } = instance;
        switch (answer.kind) {
            case "notSent":
                task.sentCount -= 1;
                loads.noteFailure(instanceId);
                noteRetry(task, instance, RetryReason.Unreachable, answer.reason);
                return false;
            case "notRun":
                if (answer.isMisdirected && answer.answeredBy !== undefined && answer.answeredBy !== instanceId) {
                    loads.noteGone(instanceId);
                }
                if (answer.load) {
                    loads.noteReport(instanceId, answer.load);
                }
                noteRetry(
                    task,
                    instance,
                    answer.isMisdirected ? RetryReason.WrongVersion : RetryReason.Overloaded,
                    `status ${answer.status}`,
                );
                return false;
            case "lost":
                task.runCount += 1;
                if (!task.signal.aborted) {
                    loads.noteFailure(instanceId);
                }
                noteRetry(task, instance, RetryReason.LinkLost, answer.reason);
                return !canRepeat(task);
            case "answered":
                task.runCount += 1;
                return noteAnswer(task, instance, answer);
            default:
                return assertNever(answer);
        }
    }

    function noteAnswer(
        task: ForwardingTask,
        instance: FleetInstance,
        { head, load }: Extract<BackendAnswer, { kind: "answered"; }>,
    ): boolean {
        if (load) {
            loads.noteReport(instance.instanceId, load);
        }
        metrics.recordMilliseconds(
            HistogramName.TimeToFirstToken,
            clock.getMonotonicMilliseconds() - task.request.arrivalMilliseconds,
        );
        if (head.status < 500 || !canRepeat(task)) {
            return true;
        }
        noteStarted(task, instance.instanceId);
        noteEnded(instance.instanceId);
        noteRetry(task, instance, RetryReason.BackendRefused, `status ${head.status}`);
        return false;
    }

    function noteRetry(task: ForwardingTask, instance: FleetInstance, reason: RetryReason, detail: string): void {
        metrics.countRetry(reason);
        task.logger.info({
            instanceId: instance.instanceId,
            reason,
            detail,
            sentCount: task.sentCount,
            weightsVersion: task.request.prompt && getWeightsVersion(instance, task.request.prompt.model),
            fleetRevision: state.getFleetRevision(),
        }, "attempt failed");
    }

    /** Notes that an engine has read a request's prompt, or never will. */
    function noteStarted(task: ForwardingTask, instanceId: string): void {
        loads.noteStarted(instanceId, getPromptTokens(task));
        prompts.noteRead(task);
    }

    function noteEnded(instanceId: string): void {
        loads.noteEnded(instanceId);
        watch.noteEnded(instanceId);
    }

    function canRepeat(task: ForwardingTask): boolean {
        return mayRepeat(task, 0);
    }

    /** Tells whether a request may be sent again after some more runs. */
    function mayRepeat(task: ForwardingTask, moreRuns: number): boolean {
        const { route } = task.admission;
        const isIdempotent = route.kind === RouteKind.Idempotent
            || route.kind === RouteKind.Stream && route.isResumable;
        return isIdempotent && !task.signal.aborted && task.runCount + moreRuns < route.maximumAttempts;
    }

    function getRemaining(task: ForwardingTask): number {
        return Math.floor(task.deadlineMilliseconds - clock.getMonotonicMilliseconds());
    }
}

/** Gets the prompt tokens that an attempt makes an engine read, at the most. */
function getPromptTokens(task: ForwardingTask): number {
    return task.request.prompt?.promptTokens ?? 0;
}

/** Gets what a caller is told whose request found no backend server. */
function getFullRefusal(task: ForwardingTask, retryAfterMilliseconds: number | undefined): Refusal {
    const reason = task.sentCount === 0 ? RefusalReason.NO_REPLICA : RefusalReason.OVERLOADED;
    return getRefusal(task, reason, retryAfterMilliseconds ?? fullRetryMilliseconds);
}

/** Gets what a caller is told whose time is over or whose attempts failed. */
function getFailure(task: ForwardingTask): Refusal {
    const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
    return getRefusal(task, reason, fullRetryMilliseconds);
}

/** Gets a refusal that says "not run" only where no attempt may have run. */
function getRefusal(task: ForwardingTask, reason: RefusalReason, retryAfterMilliseconds: number): Refusal {
    return task.runCount > 0
        ? { kind: "unknown", reason }
        : { kind: "notRun", reason, retryAfterMilliseconds };
}
