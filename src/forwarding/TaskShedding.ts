/*
 * Load shedding for requests that are being forwarded.
 */
import { FleetInstance } from "../protocol";
import { AttemptEnd } from "./AttemptEnd";
import { ForwardingTask } from "./ForwardingTask";
import { Refusal } from "./Refusal";

/** Applies load shedding to the first attempts of requests. */
export interface TaskShedding {
    /**
     * Gets the backend server for an attempt, or the refusal where all are too full.
     * @param task - The request.
     * @param chosen - The server that was chosen for it.
     * @param candidates - The servers that could serve it.
     */
    place(
        task: ForwardingTask,
        chosen: FleetInstance,
        candidates: readonly FleetInstance[],
    ): { instance: FleetInstance; } | { refusal: Refusal; };
    /** Records that an attempt is sent. */
    recordSent(task: ForwardingTask, instance: FleetInstance): void;
    /** Records how the attempt of a run has ended. */
    recordEnd(task: ForwardingTask, end: AttemptEnd): void;
}
