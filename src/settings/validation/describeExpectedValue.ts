/*
 * Describes the values that a schema accepts.
 */
import { JsonSchema } from "./JsonSchema";

const formatDescriptions: Readonly<Record<string, string>> = {
    ip: "an IP address",
    address: "an address as ip:port",
    httpAddress: "an address as http://ip:port",
};

/**
 * Describes the values that a schema accepts, as the end of a sentence.
 * @param schema - The schema.
 */
export function describeExpectedValue(schema: JsonSchema): string {
    if (schema.enum !== undefined) {
        return schema.enum.map(value => JSON.stringify(value)).join(" or ");
    }
    switch (schema.type) {
        case "string":
            return describeString(schema);
        case "integer":
            return `a whole number${describeRange(schema)}`;
        case "number":
            return `a number${describeRange(schema)}`;
        case "boolean":
            return "true or false";
        case "array":
            return describeArray(schema);
        case "object":
            return "an object";
        default:
            return "another value";
    }
}

function describeString(schema: JsonSchema): string {
    if (schema.format !== undefined) {
        return formatDescriptions[schema.format] ?? `a text of format ${schema.format}`;
    }
    if (schema.pattern !== undefined) {
        return `a text that matches ${schema.pattern}`;
    }
    if (schema.maxLength !== undefined) {
        return `a text of at most ${schema.maxLength} characters`;
    }
    return schema.minLength === undefined ? "a text" : "a text that is not empty";
}

function describeRange(schema: JsonSchema): string {
    const exclusiveMinimum = schema.exclusiveMinimum === undefined ? "" : ` above ${schema.exclusiveMinimum}`;
    if (schema.minimum !== undefined && schema.maximum !== undefined) {
        return ` from ${schema.minimum} to ${schema.maximum}`;
    }
    const minimum = schema.minimum === undefined ? "" : ` of at least ${schema.minimum}`;
    const maximum = schema.maximum === undefined ? "" : ` of at most ${schema.maximum}`;
    return `${exclusiveMinimum}${minimum}${maximum}`;
}

function describeArray(schema: JsonSchema): string {
    const minimum = schema.minItems === undefined ? "" : ` of at least ${schema.minItems}`;
    const maximum = schema.maxItems === undefined ? "" : ` of at most ${schema.maxItems}`;
    const unique = schema.uniqueItems ? " without repetition" : "";
    const items = schema.items === undefined ? "" : `, each ${describeExpectedValue(schema.items)}`;
    return `a list${minimum}${maximum}${unique}${items}`;
}
