/*
 * The outcome of requesting the plan of a configuration file.
 */
import { ConfigurationPlanResponse } from "../control/operators";
import { OperatorCallOutcome } from "./OperatorCallOutcome";

/** The plan, or the outcome of the call or check that failed. */
export type PlanOutcome =
    | { kind: "planned"; plan: ConfigurationPlanResponse; }
    | { kind: "failed"; callOutcome: OperatorCallOutcome; };
