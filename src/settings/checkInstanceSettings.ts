/*
 * Validates the parsed settings of an instance and fills in defaults.
 */
import { applyEnvironmentOverrides } from "./applyEnvironmentOverrides";
import { Environment } from "./Environment";
import { getEnvironmentOverrides } from "./getEnvironmentOverrides";
import { getRelationProblems } from "./getRelationProblems";
import { InstanceSettings } from "./InstanceSettings";
import { instanceSettingsSchema } from "./instanceSettingsSchema";
import { SettingsLoadOutcome } from "./SettingsLoadOutcome";
import { createSchemaCheck, formatValuePath, ValueProblem } from "./validation";

const checkSchema = createSchemaCheck(instanceSettingsSchema, { fillsDefaults: true });

/**
 * Validates settings. File paths in them are not resolved.
 * @param content - The parsed JSON; overrides and defaults are written into it.
 * @param environment - The environment variables that override settings.
 */
export function checkInstanceSettings(content: unknown, environment: Environment): SettingsLoadOutcome {
    const variableProblems = applyEnvironmentOverrides(content, environment);
    const schemaProblems = checkSchema(content).map(problem => addVariableName(problem, environment));
    const problems = [...variableProblems, ...schemaProblems];
    if (problems.length > 0) {
        return { kind: "invalid", problems };
    }
    const settings = content as InstanceSettings;
    const relationProblems = getRelationProblems(settings);
    return relationProblems.length > 0
        ? { kind: "invalid", problems: relationProblems }
        : { kind: "loaded", settings };
}

/** Adds the environment variable that an invalid value comes from to the problem's path. */
function addVariableName(problem: ValueProblem, environment: Environment): ValueProblem {
    const override = getEnvironmentOverrides().find(({ variable, path }) => {
        return environment[variable] !== undefined && problem.path.startsWith(formatValuePath(path));
    });
    return override === undefined ? problem : { ...problem, path: `${problem.path} (from ${override.variable})` };
}
