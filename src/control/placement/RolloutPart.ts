/*
 * The rollouts' part of the replicated state.
 */
import { EventSource } from "../EventSource";
import { StateMachinePart } from "../StateMachinePart";
import { RolloutReader } from "./RolloutReader";

/** Applies rollout commands, answers for rollouts and orders, and keeps their events. */
export type RolloutPart = StateMachinePart & RolloutReader & EventSource;
