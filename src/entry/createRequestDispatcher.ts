/*
 * Runs an entry's requests: idempotent ones with retries, all others under a claim that keeps them from running twice.
 */
import { createRetryBudget } from "../limits";
import { getRunState } from "../outcome";
import { AdmittedRequest } from "./AdmittedRequest";
import { claimRefusals, createClaimClient, createClaimedRunner } from "./claimed";
import { EntryOptions } from "./EntryOptions";
import { createIdempotentRunner } from "./idempotent";
import { createQuarantineGate } from "./quarantine";
import { RequestDispatcher } from "./RequestDispatcher";
import { ResponseEvent } from "./ResponseEvent";
import { RunnerOptions } from "./RunnerOptions";
import { createSidecarLink } from "./sidecars";

const maximumSavedRetries = 100;

/** Creates the dispatcher of an entry's requests. */
export function createRequestDispatcher(options: EntryOptions): RequestDispatcher {
    const { clock, control, logger, quarantine, settings, transports } = options;
    const runnerOptions: RunnerOptions = {
        ...options,
        link: createSidecarLink(transports, clock),
        quarantineGate: createQuarantineGate({ control, view: quarantine, clock, logger }),
        retryBudget: createRetryBudget(settings.retryBudgetShare, maximumSavedRetries),
    };
    const idempotentRunner = createIdempotentRunner(runnerOptions);
    const claimedRunner = control === undefined
        ? undefined
        : createClaimedRunner(runnerOptions, createClaimClient(options, control));
    return { run, getTasksInFlight: () => claimedRunner?.getTasksInFlight() ?? 0 };

    function run(request: AdmittedRequest, signal: AbortSignal): AsyncIterable<ResponseEvent> {
        const mayRepeat = request.work.kind === "completion" || request.work.call.isIdempotent;
        if (mayRepeat) {
            return idempotentRunner.run(request, signal);
        }
        return claimedRunner?.run(request, signal) ?? refuse();
    }

    /** Refuses a non-idempotent request: without control members, no claim can keep it from running twice. */
    async function* refuse(): AsyncGenerator<ResponseEvent> {
        const runState = getRunState({ kind: "nothingDispatched" });
        yield { kind: "refused", refusal: { ...claimRefusals.noQuorum, runState } };
    }
}
