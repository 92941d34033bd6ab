/*
 * Rollouts: which weights, adapters and roles the backend servers should hold, and the steps that bring them there.
 */
export * from "./chooseCompanion";
export * from "./createRolloutCommands";
export * from "./createRolloutPart";
export * from "./createRolloutPlanner";
export * from "./createStepJudge";
export * from "./createStepMemory";
export * from "./decodePlacement";
export * from "./defaultRolloutTiming";
export * from "./encodePlacement";
export * from "./endStep";
export * from "./getLeastInService";
export * from "./getModelCompanions";
export * from "./getNextOrder";
export * from "./getOpenProblem";
export * from "./getOrdersAnswer";
export * from "./getRolloutsAnswer";
export * from "./isLive";
export * from "./isSameTarget";
export * from "./ModelRollout";
export * from "./OpenStep";
export * from "./OrdersAnswer";
export * from "./PlacementState";
export * from "./PlannedOrder";
export * from "./RolloutPart";
export * from "./RolloutPlanner";
export * from "./RolloutPlannerOptions";
export * from "./RolloutsAnswer";
export * from "./RolloutSource";
export * from "./RolloutTargets";
export * from "./RolloutTiming";
export * from "./StepMemory";
export * from "./StepNumber";
export * from "./StepVerdict";
export * from "./toOrder";
