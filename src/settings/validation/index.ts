/*
 * Validation of JSON values against schemas; problems contain the path, the found value and the expected value.
 */
export * from "./createSchemaCheck";
export * from "./describeExpectedValue";
export * from "./formatValuePath";
export * from "./formatValueProblem";
export * from "./getNearestName";
export * from "./isHttpAddress";
export * from "./isIpPort";
export * from "./JsonParseOutcome";
export * from "./JsonSchema";
export * from "./parseJsonText";
export * from "./SchemaCheckOptions";
export * from "./showFoundValue";
export * from "./ValueProblem";
