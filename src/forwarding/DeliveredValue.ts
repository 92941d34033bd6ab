/*
 * What a request's runs deliver.
 */
import { ForwardingTask } from "./ForwardingTask";

/** A value for the caller, and the run that it comes from. */
export interface DeliveredValue<T> {
    /** The run as a task of its own. */
    task: ForwardingTask;
    /** The part of the response, or how the last run failed. */
    value: T;
}
