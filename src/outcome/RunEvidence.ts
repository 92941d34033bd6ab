/*
 * What a process has observed of the progress of a request.
 */
import { RunState } from "../protocol";

/** The last observation of one attempt, or of a request before its first attempt. */
export type RunEvidence =
    /** Refused before any claim or sidecar was involved; a keyed request may have run when it was sent before. */
    | { kind: "refusedAtEntry"; mayHaveRunBefore: boolean; }
    /** The control members didn't confirm that the claim is open, so nothing was dispatched. */
    | { kind: "claimNotOpened"; mayHaveRunBefore: boolean; }
    /** The claim is settled as never run, or its key was new and nothing was dispatched under it. */
    | { kind: "nothingDispatched"; }
    /** Another delivery of the request holds the claim, and its outcome isn't known here. */
    | { kind: "claimHeldElsewhere"; }
    /** No connection to the sidecar was established, so no byte of the attempt was sent. */
    | { kind: "sidecarNotConnected"; }
    /** The attempt was passed to a connection, and its outcome is unknown. */
    | { kind: "responseLost"; }
    /** The sidecar that may have run the attempt is lost, together with its state. */
    | { kind: "sidecarLost"; }
    /** The sidecar has forbidden the attempt, which it had never received and will never run. */
    | { kind: "attemptForbidden"; }
    /** The sidecar reported the run state. */
    | { kind: "sidecarReported"; runState: RunState; }
    /** The attempt was ended at the sidecar before it was passed to the backend server. */
    | { kind: "endedInQueue"; }
    /** The backend server refused the attempt without running any of it. */
    | { kind: "backendRefused"; }
    /** The connection to the backend server failed; `hasSent` tells whether a byte may have been sent. */
    | { kind: "backendFailed"; hasSent: boolean; }
    /** The backend server has accepted the attempt. */
    | { kind: "handedToBackend"; };
