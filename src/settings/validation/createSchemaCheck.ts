/*
 * Validates JSON values against a schema with the ajv library, and describes problems in plain language.
 */
import { Ajv, ErrorObject, ValidateFunction } from "ajv";
import { isIP } from "node:net";
import { describeExpectedValue } from "./describeExpectedValue";
import { formatValuePath } from "./formatValuePath";
import { getNearestName } from "./getNearestName";
import { isHttpAddress } from "./isHttpAddress";
import { isIpPort } from "./isIpPort";
import { JsonSchema } from "./JsonSchema";
import { SchemaCheckOptions } from "./SchemaCheckOptions";
import { showFoundValue } from "./showFoundValue";
import { ValueProblem } from "./ValueProblem";

const maximumListedNames = 12;

/**
 * Creates a function that validates values against a schema.
 * @param schema - The schema.
 * @param options - The options of the validation.
 * @returns A function that returns a value's problems, at most one for each path, and none for a valid value.
 */
export function createSchemaCheck(
    schema: JsonSchema,
    options: SchemaCheckOptions,
): (value: unknown) => readonly ValueProblem[] {
    let validate: ValidateFunction | undefined;
    return check;

    function check(value: unknown): readonly ValueProblem[] {
        validate ??= compileSchema(schema, options);
        if (validate(value)) {
            return [];
        }
        return keepFirstProblems((validate.errors ?? []).map(error => createProblem(error, value)));
    }
}

/** Compiles a schema, on first use only, since this takes longer than the rest of most processes' startup. */
function compileSchema(schema: JsonSchema, options: SchemaCheckOptions): ValidateFunction {
    const ajv = new Ajv({ allErrors: true, useDefaults: options.fillsDefaults, verbose: true, strict: true });
    ajv.addFormat("ip", (text: string) => isIP(text) !== 0);
    ajv.addFormat("address", isIpPort);
    ajv.addFormat("httpAddress", isHttpAddress);
    return ajv.compile(schema);
}

/** Keeps the first problem of each path. */
function keepFirstProblems(problems: readonly ValueProblem[]): readonly ValueProblem[] {
    const problemsByPath = new Map<string, ValueProblem>();
    for (const problem of problems) {
        if (!problemsByPath.has(problem.path)) {
            problemsByPath.set(problem.path, problem);
        }
    }
    return [...problemsByPath.values()];
}

function createProblem(error: ErrorObject, root: unknown): ValueProblem {
    const segments = getPathSegments(error.instancePath, root);
    const schema = (error.parentSchema ?? {}) as JsonSchema;
    switch (error.keyword) {
        case "additionalProperties":
            return createUnknownNameProblem(segments, String(error.params.additionalProperty), schema, error.data);
        case "required":
            return createMissingProblem(segments, String(error.params.missingProperty), schema);
        case "propertyNames":
            return createNameProblem(segments, String(error.params.propertyName), schema);
        case "maxProperties":
            return createCountProblem(segments, schema, error.data);
        default:
            return createValueProblem(segments, error, schema);
    }
}

/** Splits a JSON pointer into path segments; an array index becomes a number. */
function getPathSegments(pointer: string, root: unknown): readonly (string | number)[] {
    let parent = root;
    return pointer.split("/").slice(1).map(encoded => {
        const name = encoded.replaceAll("~1", "/").replaceAll("~0", "~");
        const segment = Array.isArray(parent) ? Number(name) : name;
        parent = (parent as Record<string, unknown> | undefined)?.[name];
        return segment;
    });
}

function createUnknownNameProblem(
    segments: readonly (string | number)[],
    name: string,
    schema: JsonSchema,
    parent: unknown,
): ValueProblem {
    const knownNames = Object.keys(schema.properties ?? {});
    const listedNames = knownNames.slice(0, maximumListedNames).join(", ");
    const ellipsis = knownNames.length > maximumListedNames ? ", ..." : "";
    const path = formatValuePath([...segments, name]);
    const value = (parent as Record<string, unknown>)[name];
    return {
        path,
        found: `an unknown key with ${showFoundValue(value, path)}`,
        expected: `one of the keys ${listedNames}${ellipsis}`,
        nearest: getNearestName(name, knownNames),
    };
}

function createMissingProblem(
    segments: readonly (string | number)[],
    name: string,
    schema: JsonSchema,
): ValueProblem {
    const expected = describeExpectedValue(schema.properties?.[name] ?? {});
    return { path: formatValuePath([...segments, name]), found: "nothing", expected };
}

function createNameProblem(segments: readonly (string | number)[], name: string, schema: JsonSchema): ValueProblem {
    const expected = `a name: ${describeExpectedValue(schema.propertyNames ?? {})}`;
    return { path: formatValuePath([...segments, name]), found: "a name of another form", expected };
}

function createCountProblem(
    segments: readonly (string | number)[],
    schema: JsonSchema,
    value: unknown,
): ValueProblem {
    const count = Object.keys(value as object).length;
    return {
        path: formatValuePath(segments),
        found: `${count} names`,
        expected: `at most ${schema.maxProperties} names`,
    };
}

function createValueProblem(
    segments: readonly (string | number)[],
    error: ErrorObject,
    schema: JsonSchema,
): ValueProblem {
    if (error.propertyName !== undefined) {
        return createNameProblem(segments, error.propertyName, { propertyNames: schema });
    }
    const path = formatValuePath(segments);
    const nearest = getNearestEnumValue(error, schema);
    return { path, found: showFoundValue(error.data, path), expected: describeExpectedValue(schema), nearest };
}

/** Gets the enum value that is most similar to a string that is not in the enum. */
function getNearestEnumValue(error: ErrorObject, schema: JsonSchema): string | undefined {
    if (error.keyword !== "enum" || typeof error.data !== "string") {
        return undefined;
    }
    return getNearestName(error.data, (schema.enum ?? []).filter(value => typeof value === "string"));
}
