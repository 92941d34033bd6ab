/*
 * The run state that each observation of an attempt proves. Entry processes and sidecars decide only here from which
 * point on an attempt can't be reported as "not run": for a sidecar, when the first byte of the attempt may have been
 * sent to its backend server; for an entry process, when the attempt may have been sent to the sidecar.
 */
import { assertNever } from "../errors";
import { RunState } from "../protocol";
import { RunEvidence } from "./RunEvidence";

/**
 * Gets whether an attempt ran. The result is `NOT_RUN` only where that is proven.
 * @param evidence - The last observation of the attempt.
 */
export function getRunState(evidence: RunEvidence): RunState {
    switch (evidence.kind) {
        case "refusedAtEntry":
        case "claimNotOpened":
            return evidence.mayHaveRunBefore ? RunState.UNKNOWN : RunState.NOT_RUN;
        case "nothingDispatched":
        case "sidecarNotConnected":
        case "attemptForbidden":
        case "endedInQueue":
        case "backendRefused":
            return RunState.NOT_RUN;
        case "claimHeldElsewhere":
        case "responseLost":
        case "sidecarLost":
            return RunState.UNKNOWN;
        case "backendFailed":
            return evidence.hasSent ? RunState.UNKNOWN : RunState.NOT_RUN;
        case "sidecarReported":
            return evidence.runState === RunState.UNSPECIFIED ? RunState.UNKNOWN : evidence.runState;
        case "handedToBackend":
            return RunState.RAN;
        default:
            return assertNever(evidence);
    }
}
