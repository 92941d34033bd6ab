/*
 * The configuration tree as a part of the replicated state machine.
 */
import { EventSource } from "../EventSource";
import { StateMachinePart } from "../StateMachinePart";
import { ConfigurationSource } from "./ConfigurationSource";

/** The configuration tree and its events, changed by the replicated log and read by sessions and operators. */
export type ConfigurationPart = StateMachinePart & ConfigurationSource & EventSource;
