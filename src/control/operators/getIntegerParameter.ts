/*
 * Reads numbers from the parameters of a URL's query string.
 */

const integerPattern = /^\d{1,15}$/;

/**
 * Gets the value of a parameter that is a non-negative integer.
 * @param parameters - The parameters of the query string.
 * @param name - The parameter's name.
 * @returns The number; undefined if the parameter is absent or not an integer of at most 15 digits.
 */
export function getIntegerParameter(parameters: URLSearchParams, name: string): number | undefined {
    const text = parameters.get(name) ?? "";
    return integerPattern.test(text) ? Number(text) : undefined;
}
