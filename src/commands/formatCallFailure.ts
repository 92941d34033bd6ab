/*
 * Says why a call did not succeed.
 */
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** The parts that the bodies of refusals may have. */
interface FailureResponseBody {
    outcome?: string;
    revision?: number;
    problems?: readonly string[];
    error?: { message?: string; problems?: readonly string[]; };
}

/** Formats what went wrong, with a line for each problem. */
export function formatCallFailure(outcome: OperatorCallOutcome): string {
    switch (outcome.kind) {
        case "invalid":
            return outcome.reason;
        case "unreachable":
            return `No control member answered: ${outcome.reason}`;
        case "answered":
            return formatFailureResponse(outcome.status, (outcome.body ?? {}) as FailureResponseBody);
    }
}

function formatFailureResponse(status: number, { outcome, revision, problems, error }: FailureResponseBody): string {
    const title = outcome === undefined
        ? error?.message ?? `The control member answered with status ${status}`
        : `${outcome}; the revision is ${revision}`;
    const problemLines = (problems ?? error?.problems ?? []).map(problem => `  ${problem}`);
    return [title, ...problemLines].join("\n");
}
