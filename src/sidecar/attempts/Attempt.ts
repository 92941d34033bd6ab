/*
 * An attempt that a sidecar has accepted.
 */
import { RunState } from "../../protocol";
import { ReplayBuffer } from "./ReplayBuffer";

/** An attempt, from its dispatch until it is removed from the registry. */
export interface Attempt {
    /** The request's id. */
    readonly requestId: string;
    /** The attempt's number within its request, from 1. */
    readonly attempt: number;
    /** Whether the attempt runs under a claim's fencing token. */
    readonly isClaimed: boolean;
    /** Aborted when the attempt is cancelled. */
    readonly signal: AbortSignal;
    /** The attempt's last events. */
    readonly replayBuffer: ReplayBuffer;
    /** Sets whether the attempt ran, as far as it is known. */
    setRunState(runState: RunState): void;
    /** Gets whether the attempt ran, as far as it is known; `NOT_RUN` until it is sent to the backend server. */
    getRunState(): RunState;
    /** Cancels the attempt. A claimed attempt is cancelled only before it is sent to the backend server. */
    cancel(): void;
}
