/*
 * The outcome of one operation on one level.
 */
import { LevelSettings } from "./LevelSettings";

/** The outcome of editing a level's settings. */
export type SettingEditOutcome =
    /** The operation was applied; the new settings have not been validated against the schema yet. */
    | { kind: "edited"; settings: LevelSettings; }
    /** The operation can't be applied. */
    | { kind: "invalid"; problem: string; };
