/*
 * Checks one level's settings against the schema of its kind.
 */
import { createSchemaCheck, ValueProblem } from "../../settings/validation";
import { getLevelSettingsSchema } from "./getLevelSettingsSchema";
import { LevelKind } from "./LevelKind";

const compiledChecks = new Map<LevelKind, (value: unknown) => readonly ValueProblem[]>();

/**
 * Checks what a level sets.
 * @param kind - The level's kind.
 * @param settings - The level's settings, of any shape.
 * @returns The problems; none where the settings are valid.
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
