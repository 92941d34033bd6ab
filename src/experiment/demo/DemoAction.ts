/*
 * An action that is taken during a demonstration.
 */

/** An action at a scheduled time. */
export interface DemoAction {
    /** The time of the action, in seconds from the workload's start. */
    atSeconds: number;
    /** The description that the progress line shows. */
    name: string;
    /** Performs the action. */
    run(): Promise<void>;
}
