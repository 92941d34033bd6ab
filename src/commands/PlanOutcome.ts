/*
 * What became of the wish to know what a file would change.
 */
import { ConfigurationPlanResponse } from "../control/operators";
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** The outcome of planning. */
export type PlanOutcome =
    | { kind: "planned"; plan: ConfigurationPlanResponse; }
    | { kind: "failed"; callOutcome: OperatorCallOutcome; };
