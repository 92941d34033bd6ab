/*
 * Describes why a call to the control members failed.
 */
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** The fields that the body of a failure response may have. */
interface FailureResponseBody {
    /** The outcome of a refused change, such as `conflict`. */
    outcome?: string;
    /** The current configuration revision. */
    revision?: number;
    /** The problems of a refused change, one line each. */
    problems?: readonly string[];
    /** The error of any other failure. */
    error?: { message?: string; problems?: readonly string[]; };
}

/**
 * Formats the reason of a failed call, with a line for each problem.
 * @param outcome - The outcome of the call.
 */
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
