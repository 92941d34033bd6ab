/*
 * What became of an instance's settings file.
 */
import { InstanceSettings } from "./InstanceSettings";
import { ValueProblem } from "./validation";

/** The outcome of loading settings. */
export type SettingsLoadOutcome =
    | { kind: "loaded"; settings: InstanceSettings; }
    | { kind: "invalid"; problems: readonly ValueProblem[]; }
    | { kind: "unreadable"; reason: string; };
