/*
 * Reads numbers from the parameters of a query.
 */

const wholeNumberPattern = /^\d{1,15}$/;

/** Gets a parameter's whole number; undefined where it is absent or none. */
export function getIntegerParameter(parameters: URLSearchParams, name: string): number | undefined {
    const text = parameters.get(name) ?? "";
    return wholeNumberPattern.test(text) ? Number(text) : undefined;
}
