/*
 * One attempt at a sidecar.
 */
import { RunState } from "../../protocol";
import { ReplayBuffer } from "./ReplayBuffer";

/** An attempt, from when it was first seen until it is forgotten. */
export interface Attempt {
    /** The request's id. */
    readonly requestId: string;
    /** The attempt's number within its request, from 1. */
    readonly attempt: number;
    /** Whether the attempt runs under a claim's number. */
    readonly isClaimed: boolean;
    /** Aborted when the attempt is given up. */
    readonly signal: AbortSignal;
    /** The events. */
    readonly replayBuffer: ReplayBuffer;
    /** Notes what is known of whether the attempt ran. */
    setRunState(runState: RunState): void;
    /** Gets what is known of whether the attempt ran; `NOT_RUN` until it is handed to the backend server. */
    getRunState(): RunState;
    /** Gives the attempt up where that is allowed: a claimed one only before it is handed to the backend server. */
    cancel(): void;
}
