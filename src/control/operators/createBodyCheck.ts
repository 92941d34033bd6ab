/*
 * Validates the bodies of operators' requests.
 */
import { createSchemaCheck, formatValueProblem, JsonSchema } from "../../settings/validation";
import { createErrorResponse } from "./createErrorResponse";
import { OperatorResponse } from "./OperatorResponse";

/**
 * Creates the validation of a body.
 * @param schema - The schema that the body must conform to.
 * @returns A function that returns the refusal of an invalid body, and undefined for a valid one.
 */
export function createBodyCheck(schema: JsonSchema): (body: unknown) => OperatorResponse | undefined {
    const check = createSchemaCheck(schema, { fillsDefaults: false });
    return body => {
        const problems = check(body).map(formatValueProblem);
        return problems.length === 0
            ? undefined
            : createErrorResponse(422, "invalid", "The request's body is not valid", problems);
    };
}
