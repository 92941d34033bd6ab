/*
 * The part of JSON Schema that this project's schemas use.
 */

/** A JSON schema; its keywords have the meaning that JSON Schema draft 7 defines. */
export interface JsonSchema {
    $schema?: string;
    title?: string;
    description?: string;
    type?: string | readonly string[];
    format?: string;
    pattern?: string;
    enum?: readonly unknown[];
    default?: unknown;
    minimum?: number;
    exclusiveMinimum?: number;
    maximum?: number;
    minLength?: number;
    maxLength?: number;
    minItems?: number;
    maxItems?: number;
    uniqueItems?: boolean;
    minProperties?: number;
    maxProperties?: number;
    items?: JsonSchema;
    required?: readonly string[];
    properties?: Readonly<Record<string, JsonSchema>>;
    propertyNames?: JsonSchema;
    additionalProperties?: boolean | JsonSchema;
}
