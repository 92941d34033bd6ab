/*
 * Validates a level's settings against the schema for the kind of level.
 */
import { createSchemaCheck, ValueProblem } from "../../settings/validation";
import { getLevelSettingsSchema } from "./getLevelSettingsSchema";
import { LevelKind } from "./LevelKind";

const compiledChecks = new Map<LevelKind, (value: unknown) => readonly ValueProblem[]>();

/**
 * Validates the settings of a level.
 * @param kind - The level's kind.
 * @param settings - The value to validate, of any type.
 * @returns The problems; empty if the settings are valid.
 */
export function checkLevelSettings(kind: LevelKind, settings: unknown): readonly ValueProblem[] {
    const check = compiledChecks.get(kind) ?? compileCheck(kind);
    return check(settings);
}

function compileCheck(kind: LevelKind): (value: unknown) => readonly ValueProblem[] {
    const check = createSchemaCheck(getLevelSettingsSchema(kind), { fillsDefaults: false });
    compiledChecks.set(kind, check);
    return check;
}
