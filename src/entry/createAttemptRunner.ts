/*
 * Runs an entry's requests, each in the way that its kind allows.
 */
import { createRetryBudget } from "../limits";
import { getRunState } from "../outcome";
import { AdmittedRequest } from "./AdmittedRequest";
import { AnswerEvent } from "./AnswerEvent";
import { claimRefusals, createClaimClient, createClaimedRunner } from "./claimed";
import { EntryOptions } from "./EntryOptions";
import { createIdempotentRunner } from "./idempotent";
import { createQuarantineGate } from "./quarantine";
import { RequestRunner } from "./RequestRunner";
import { RunnerParts } from "./RunnerParts";
import { createSidecarLink } from "./sidecars";

const savedRetries = 100;

/** Creates the runner of an entry's requests. */
export function createAttemptRunner(options: EntryOptions): RequestRunner {
    const { clock, control, logger, quarantine, settings, transports } = options;
    const parts: RunnerParts = {
        ...options,
        link: createSidecarLink(transports, clock),
        gate: createQuarantineGate({ control, view: quarantine, clock, logger }),
        retryBudget: createRetryBudget(settings.retryBudgetShare, savedRetries),
    };
    const idempotentRunner = createIdempotentRunner(parts);
    const claimedRunner = control === undefined
        ? undefined
        : createClaimedRunner(parts, createClaimClient(options, control));
    return { run, getTasksInFlight: () => claimedRunner?.getTasksInFlight() ?? 0 };

    function run(request: AdmittedRequest, signal: AbortSignal): AsyncIterable<AnswerEvent> {
        const mayRepeat = request.work.kind === "completion" || request.work.call.isIdempotent;
        if (mayRepeat) {
            return idempotentRunner.run(request, signal);
        }
        return claimedRunner?.run(request, signal) ?? refuse();
    }

    /** Refuses a request that may not be repeated, as nothing here could keep it from running twice. */
    async function* refuse(): AsyncGenerator<AnswerEvent> {
        const runState = getRunState({ kind: "nothingDispatched" });
        yield { kind: "refused", refusal: { ...claimRefusals.noQuorum, runState } };
    }
}
