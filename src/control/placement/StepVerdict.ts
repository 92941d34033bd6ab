/*
 * The result of evaluating an open step.
 */

/** Whether an open step goes on, and how it ends otherwise. The kind and the reason are logged. */
export type StepVerdict =
    /** The step goes on; its order is sent again until it is executed. */
    | { kind: "waiting"; }
    /** The canary has passed; partially where it needs further orders to reach the target. */
    | { kind: "passed"; isPartial: boolean; }
    /** The step failed because of the target, which counts against the rollout. */
    | { kind: "failed"; reason: string; }
    /** The step ends without a result, such as when its sidecar is lost; it doesn't count against the rollout. */
    | { kind: "lost"; reason: string; };
