/*
 * The outcome of reading a declarative configuration file.
 */
import { ValueProblem } from "../../settings/validation";
import { LevelSettings } from "./LevelSettings";

/** The outcome of reading a configuration file. */
export type ConfigurationFileOutcome =
    /** The file is valid. The map holds the levels' own settings by path, each level after its parent. */
    | { kind: "read"; levels: ReadonlyMap<string, LevelSettings>; }
    /** The content is not valid. */
    | { kind: "invalid"; problems: readonly ValueProblem[]; }
    /** The file could not be read. */
    | { kind: "unreadable"; reason: string; };
