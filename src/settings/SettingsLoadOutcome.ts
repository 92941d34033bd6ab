/*
 * The result of loading the settings of an instance.
 */
import { InstanceSettings } from "./InstanceSettings";
import { ValueProblem } from "./validation";

/** The settings, or why they could not be loaded. */
export type SettingsLoadOutcome =
    /** The settings are valid; absent values have their defaults. */
    | { kind: "loaded"; settings: InstanceSettings; }
    /** The file is not JSON, or settings have invalid values. */
    | { kind: "invalid"; problems: readonly ValueProblem[]; }
    /** The file cannot be read, for a reason from the operating system. */
    | { kind: "unreadable"; reason: string; };
