/*
 * The part of the replicated state that holds rollouts.
 */
import { EventSource } from "../EventSource";
import { StateMachinePart } from "../StateMachinePart";
import { RolloutReader } from "./RolloutReader";

/** Applies rollout commands, answers rollout and orders queries, and keeps the events of rollouts. */
export type RolloutPart = StateMachinePart & RolloutReader & EventSource;
