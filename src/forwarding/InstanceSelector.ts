/*
 * Selects backend servers for attempts.
 */
import { FleetInstance } from "../protocol";
import { ForwardingTask } from "./ForwardingTask";
import { Refusal } from "./Refusal";

/** Selects among the backend servers of a request's service. */
export interface InstanceSelector {
    /** Gets the backend servers that may run the request and have not been tried yet. */
    getCandidates(task: ForwardingTask): readonly FleetInstance[];
    /**
     * Chooses one of the candidates whose limit allows a request now.
     * @returns The backend server, or undefined where there is none.
     */
    choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined;
    /** Gets the refusal where the limits of all candidates are used up. */
    getLimitRefusal(task: ForwardingTask, candidates: readonly FleetInstance[]): Refusal;
    /** Returns whether another backend server, which responds, can take over a request in flight. */
    canTakeOver(task: ForwardingTask): boolean;
}
