/*
 * What the planner makes of an open step.
 */

/** The judgement of an open step. */
export type StepVerdict =
    /** The step goes on; its order is sent again where its sidecar may not have it. */
    | { kind: "waiting"; }
    /** The canary has proved itself, as a whole or so far. */
    | { kind: "passed"; isPartial: boolean; }
    /** The version is to blame. */
    | { kind: "failed"; reason: string; }
    /** The sidecar or its answer is lost, which says nothing of the version. */
    | { kind: "lost"; reason: string; };
